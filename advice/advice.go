// Package advice decodes what a target says about itself in the headers of its
// responses: the rate limit that it names, its current speed, and that it's leaving.
package advice

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/dialct"
)

// MinRate is the lowest rate limit that is followed, in requests per second:
// only responses tell that a limit has ended.
const MinRate = 0.5

const (
	// maxRateLimit, in requests per second, is far more than any target can take;
	// a larger value isn't a rate limit.
	maxRateLimit = 1e9
	// maxValueBytes is the max length of a valid value, and how much of an invalid
	// one an error quotes.
	maxValueBytes = 32
	// maxLoadBytes is the max length of a valid load.
	maxLoadBytes = 64
	leavingValue = "1"
	// maxSlowness, in percent, is far more than neighbours can slow a target down.
	maxSlowness = 10_000
	// loadFigures is the number of figures in the load of a target that reports no speed.
	loadFigures = 3
)

// Advice is what one response says. It's an immutable value.
type Advice struct {
	// Limited says that the target names a rate limit. RateLimit is that limit, in
	// requests per second from all nodes together.
	Limited   bool
	RateLimit float64
	// Malformed says that the response has a rate limit that can't be read, so it
	// doesn't tell whether there is one.
	Malformed bool
	// Leaving says that the target takes no new requests.
	Leaving bool
	// Slowness is the current duration of work in percent of the usual one, 0 if the
	// response doesn't tell. Slots is the number of slots that the response names along
	// with it.
	Slowness float64
	Slots    int
}

// Read decodes the headers of a response, by their names in the dialect. It
// returns an error for each header that it ignores because its value is
// malformed or occurs more than once.
func Read(h http.Header, d dialct.Dialect) (Advice, []error) {
	var a Advice
	var problems []error
	if value, ok, err := single(h, d.RateLimit); err != nil {
		a.Malformed = true
		problems = append(problems, err)
	} else if ok {
		if a.RateLimit, err = parseRate(value); err != nil {
			a.Malformed = true
			problems = append(problems, errors.Wrap(err, d.RateLimit))
		}
		a.Limited = err == nil
	}
	if value, ok, err := single(h, d.Leaving); err != nil {
		problems = append(problems, err)
	} else if ok {
		a.Leaving = value == leavingValue
		if !a.Leaving {
			problems = append(problems, errors.Errorf("%s: %q isn't %s", d.Leaving, shorten(value), leavingValue))
		}
	}
	if value, ok, err := single(h, d.Load); err != nil {
		problems = append(problems, err)
	} else if ok {
		if a.Slots, a.Slowness, err = parseLoad(value); err != nil {
			problems = append(problems, errors.Wrap(err, d.Load))
		}
	}
	return a, problems
}

// parseLoad parses the load of a target, running,waiting,slots,slowness. It returns zeros
// if the last figure is missing.
func parseLoad(value string) (slots int, slowness float64, err error) {
	figures := strings.SplitN(value[:min(len(value), maxLoadBytes)], ",", loadFigures+2)
	if len(figures) == loadFigures {
		return 0, 0, nil
	}
	if len(figures) != loadFigures+1 || len(value) > maxLoadBytes {
		return 0, 0, errors.Errorf("%q isn't three or four numbers", shorten(value))
	}
	slots, err = strconv.Atoi(figures[loadFigures-1])
	if err != nil || slots < 0 {
		return 0, 0, errors.Errorf("%q: the slots aren't a number", shorten(value))
	}
	slowness, err = parseRate(figures[loadFigures])
	if err != nil || slowness < 1 || slowness > maxSlowness {
		return 0, 0, errors.Errorf("%q: the speed isn't a number from 1 to %d", shorten(value), maxSlowness)
	}
	return slots, slowness, nil
}

// single returns the value of a header, and whether the response has it. It
// fails if there are several.
func single(h http.Header, name string) (value string, ok bool, err error) {
	if name == "" {
		return "", false, nil
	}
	values := h[name]
	if len(values) == 0 {
		return "", false, nil
	}
	if len(values) > 1 {
		return "", false, errors.Errorf("%s: %d values instead of one", name, len(values))
	}
	return values[0], true, nil
}

// parseRate parses a decimal number without sign or exponent.
func parseRate(value string) (float64, error) {
	if len(value) > maxValueBytes || strings.Trim(value, "0123456789.") != "" {
		return 0, errors.Errorf("%q isn't a decimal number", shorten(value))
	}
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, errors.Errorf("%q isn't a decimal number", value)
	}
	if rate > maxRateLimit {
		return 0, errors.Errorf("%q is more than any target can take", value)
	}
	return rate, nil
}

func shorten(value string) string {
	return value[:min(len(value), maxValueBytes)]
}
