// Package advice decodes what a target says about itself in the headers of its
// responses: the rate limit that it names, and that it's leaving.
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
	leavingValue  = "1"
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
	return a, problems
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
