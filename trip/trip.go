// Package trip holds what nodes tell one another of a request beside its HTTP
// form: for whom and for what it runs, and how long there is.
package trip

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/grade"
)

// Header carries a trip from the entry to the gate.
const Header = "Loom-Trip"

// Trip describes one request on its way to a service. It's a value.
type Trip struct {
	// Root is the route by which the caller's request came in; for a call of a
	// target it's that of the request for which the target makes the call, as
	// far as that is known.
	Root string
	// Grade is that of the root's request.
	Grade grade.Grade
	// Service is the service that shall run the request.
	Service string
	// Team is who it's charged to, empty on a route open to all.
	Team string
	// Origin is the service beside which the request began.
	Origin string
	// Fingerprint is the same for requests with the same path, caller and body.
	Fingerprint string
	// LeftMillis is the time left for the answer.
	LeftMillis float64
	// ObjectiveMillis is the time left in which the root's answer is worth most; it's
	// below zero once that has passed.
	ObjectiveMillis float64
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Call says that a target made the request for one that it runs.
	Call bool
	// Retry says that the request, or one above it in the chain, was sent to a
	// target before.
	Retry bool
}

const fieldCount = 9

// Encode returns the trip as the value of its header.
func (t Trip) Encode() string {
	flags := ""
	if t.Idempotent {
		flags += "i"
	}
	if t.Call {
		flags += "c"
	}
	if t.Retry {
		flags += "r"
	}
	return strings.Join([]string{
		url.QueryEscape(t.Root),
		strconv.Itoa(int(t.Grade)),
		url.QueryEscape(t.Service),
		url.QueryEscape(t.Team),
		url.QueryEscape(t.Origin),
		strconv.FormatFloat(t.LeftMillis, 'f', 1, 64),
		strconv.FormatFloat(t.ObjectiveMillis, 'f', 1, 64),
		flags,
		url.QueryEscape(t.Fingerprint),
	}, ",")
}

// Decode reads the value of the header.
func Decode(text string) (Trip, error) {
	f := strings.Split(text, ",")
	if len(f) != fieldCount {
		return Trip{}, errors.Errorf("trip: %d fields instead of %d", len(f), fieldCount)
	}
	var names [5]string
	for i, at := range []int{0, 2, 3, 4, 8} {
		name, err := url.QueryUnescape(f[at])
		if err != nil {
			return Trip{}, errors.Wrap(err, "trip")
		}
		names[i] = name
	}
	urgency, errGrade := strconv.Atoi(f[1])
	left, errLeft := strconv.ParseFloat(f[5], 64)
	goal, errGoal := strconv.ParseFloat(f[6], 64)
	if errGrade != nil || errLeft != nil || errGoal != nil || urgency < 0 || urgency >= grade.Count {
		return Trip{}, errors.Errorf("trip: %q isn't one", text)
	}
	return Trip{
		Root:            names[0],
		Grade:           grade.Grade(urgency),
		Service:         names[1],
		Team:            names[2],
		Origin:          names[3],
		Fingerprint:     names[4],
		LeftMillis:      left,
		ObjectiveMillis: goal,
		Idempotent:      strings.Contains(f[7], "i"),
		Call:            strings.Contains(f[7], "c"),
		Retry:           strings.Contains(f[7], "r"),
	}, nil
}

// WithElapsed returns the trip after some of its time has passed.
func (t Trip) WithElapsed(passedMillis float64) Trip {
	t.LeftMillis -= passedMillis
	t.ObjectiveMillis -= passedMillis
	return t
}

// WithRetry returns the trip of a request that is sent again.
func (t Trip) WithRetry() Trip {
	t.Retry = true
	return t
}
