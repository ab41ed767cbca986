// Package trip holds the metadata that nodes exchange about a request besides
// its HTTP form: for whom and for what it runs, and how much time is left.
package trip

import (
	"math"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/grade"
)

// Header is the HTTP header that carries a trip from the entry to the gate.
const Header = "Loom-Trip"

// Trip describes one request on its way to a service. It's a value.
type Trip struct {
	// Root is the root route: that of the caller's request. For a child call, it's
	// that of the request for which the target makes the call, or the call's own
	// route if that request isn't known.
	Root string
	// Grade is the grade of the root request.
	Grade grade.Grade
	// Service is the service that is to run the request.
	Service string
	// Team is the team to which the request is charged, empty on a route open to
	// all.
	Team string
	// Origin is the service of the node whose entry received the request.
	Origin string
	// Fingerprint is the same for requests with the same method, path, caller and
	// body. A child call has that of its root request.
	Fingerprint string
	// RateLimit is the rate limit, in requests per second, that the entry knows of
	// the selected target; 0 if it knows none. RateLimitAgeMillis is how long ago
	// the target named it, RateLimitTarget the hash of the target's ID.
	RateLimit          float64
	RateLimitAgeMillis float64
	RateLimitTarget    uint32
	// LeftMillis is the time left until the deadline.
	LeftMillis float64
	// ObjectiveMillis is the time left to the latency objective of the root
	// request; it's negative once that is missed.
	ObjectiveMillis float64
	// Idempotent tells whether the request may run more than once.
	Idempotent bool
	// Call tells whether the request is a child call, which a target makes for a
	// request that it runs.
	Call bool
	// Retry tells whether the request, or one of its ancestors in the chain, is a
	// retry.
	Retry bool
}

const (
	fieldCount = 9
	// limitSeparator separates the flags from the rate limit, its age and its
	// target, which are numbers. Older builds only look for the letters of the
	// flags in the whole field.
	limitSeparator = ";"
	limitCount     = 3
)

// Encode returns the value of the header for the trip: nine fields with commas
// between them, which are root, grade, service, team, origin, left and objective
// in milliseconds, flags (i, c, r) with the rate limit if there is one, and
// fingerprint. Texts are query-escaped.
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
	if t.RateLimit > 0 {
		flags = strings.Join([]string{
			flags,
			strconv.FormatFloat(t.RateLimit, 'f', 3, 64),
			strconv.FormatFloat(t.RateLimitAgeMillis, 'f', 0, 64),
			strconv.FormatUint(uint64(t.RateLimitTarget), 10),
		}, limitSeparator)
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

// Decode parses the value of the header. It fails if a field is missing or
// malformed.
func Decode(value string) (Trip, error) {
	fields := strings.Split(value, ",")
	if len(fields) != fieldCount {
		return Trip{}, errors.Errorf("trip: %d fields instead of %d", len(fields), fieldCount)
	}
	var names [5]string
	for i, position := range []int{0, 2, 3, 4, 8} {
		name, err := url.QueryUnescape(fields[position])
		if err != nil {
			return Trip{}, errors.Wrap(err, "trip")
		}
		names[i] = name
	}
	requestGrade, errGrade := strconv.Atoi(fields[1])
	leftMillis, errLeft := strconv.ParseFloat(fields[5], 64)
	objectiveMillis, errObjective := strconv.ParseFloat(fields[6], 64)
	if errGrade != nil || errLeft != nil || errObjective != nil || !isFinite(leftMillis) || !isFinite(objectiveMillis) || requestGrade < 0 || requestGrade >= grade.Count {
		return Trip{}, errors.Errorf("trip: %q isn't one", value)
	}
	flags, limit, limited := strings.Cut(fields[7], limitSeparator)
	t := Trip{
		Root:            names[0],
		Grade:           grade.Grade(requestGrade),
		Service:         names[1],
		Team:            names[2],
		Origin:          names[3],
		Fingerprint:     names[4],
		LeftMillis:      leftMillis,
		ObjectiveMillis: objectiveMillis,
		Idempotent:      strings.Contains(flags, "i"),
		Call:            strings.Contains(flags, "c"),
		Retry:           strings.Contains(flags, "r"),
	}
	if !limited {
		return t, nil
	}
	return t.withEncodedLimit(limit)
}

// withEncodedLimit returns the trip with the rate limit that Encode has written
// after the flags.
func (t Trip) withEncodedLimit(encoded string) (Trip, error) {
	parts := strings.Split(encoded, limitSeparator)
	if len(parts) != limitCount {
		return Trip{}, errors.Errorf("trip: %q isn't a rate limit", encoded)
	}
	rate, errRate := strconv.ParseFloat(parts[0], 64)
	ageMillis, errAge := strconv.ParseFloat(parts[1], 64)
	target, errTarget := strconv.ParseUint(parts[2], 10, 32)
	if errRate != nil || errAge != nil || errTarget != nil || rate <= 0 || ageMillis < 0 || !isFinite(rate) || !isFinite(ageMillis) {
		return Trip{}, errors.Errorf("trip: %q isn't a rate limit", encoded)
	}
	return t.WithRateLimit(uint32(target), rate, ageMillis), nil
}

func isFinite(f float64) bool {
	return !math.IsNaN(f) && !math.IsInf(f, 0)
}

// WithRateLimit returns the trip with a rate limit in requests per second that the
// target with this hash named ageMillis ago; 0 is none.
func (t Trip) WithRateLimit(targetHash uint32, rate, ageMillis float64) Trip {
	t.RateLimitTarget, t.RateLimit, t.RateLimitAgeMillis = targetHash, rate, ageMillis
	return t
}

// WithElapsed returns the trip after elapsedMillis more have passed.
func (t Trip) WithElapsed(elapsedMillis float64) Trip {
	t.LeftMillis -= elapsedMillis
	t.ObjectiveMillis -= elapsedMillis
	return t
}

// WithRetry returns the trip of a retry of the request.
func (t Trip) WithRetry() Trip {
	t.Retry = true
	return t
}
