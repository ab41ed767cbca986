package loader

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	numberPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]{0,17})(\.[0-9]{1,9})?$`)
)

// sizeUnits lists the units that a size may have.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
}

func isName(text string) bool {
	return namePattern.MatchString(text)
}

// text reads a string; numbers must be quoted.
func (r *reader) text(e entry) (string, bool) {
	text, ok := e.value.(*ast.StringNode)
	if !ok {
		r.report(e.place, "%s must be text (in quotes, where it looks like something else)", e.key)
		return "", false
	}
	return text.Value, true
}

// texts reads a list of unique strings and records the place of each.
func (r *reader) texts(e entry) []string {
	var texts []string
	for _, n := range r.items(e) {
		element := entry{key: "an entry of " + e.key, place: r.place(n.GetToken()), value: n}
		text, ok := r.text(element)
		if !ok {
			continue
		}
		if slices.Contains(texts, text) {
			r.report(element.place, "%s stands twice", element.key)
		}
		e.places[elementKey(e.key, text)] = element.place
		texts = append(texts, text)
	}
	return texts
}

func (r *reader) boolean(e entry) bool {
	value, ok := e.value.(*ast.BoolNode)
	if !ok {
		r.report(e.place, "%s must be true or false", e.key)
		return false
	}
	return value.Value
}

// decimal returns the text of a plain decimal number.
func (r *reader) decimal(e entry) (string, bool) {
	text := ""
	switch e.value.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		text = e.value.GetToken().Value
	}
	if !numberPattern.MatchString(text) {
		r.report(e.place, "%s must be a plain decimal number", e.key)
		return "", false
	}
	return text, true
}

func (r *reader) number(e entry) (float64, bool) {
	text, ok := r.decimal(e)
	if !ok {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// integer reads a whole number from lowest to highest.
func (r *reader) integer(e entry, lowest, highest int64) int64 {
	text, ok := r.decimal(e)
	if !ok {
		return 0
	}
	return r.parseInteger(e, text, lowest, highest)
}

func (r *reader) parseInteger(e entry, text string, lowest, highest int64) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < lowest || value > highest {
		r.report(e.place, "%s must be a whole number from %d to %d", e.key, lowest, highest)
		return 0
	}
	return value
}

// millis reads a duration with its unit, such as 800ms or 5s.
func (r *reader) millis(e entry, lowest int64) int64 {
	text, ok := e.value.(*ast.StringNode)
	if !ok {
		r.report(e.place, "%s must be a duration with its unit, such as 800ms or 5s", e.key)
		return 0
	}
	duration, err := time.ParseDuration(text.Value)
	if err != nil {
		r.report(e.place, "%s %q isn't a duration such as 800ms or 5s", e.key, text.Value)
		return 0
	}
	millis := duration.Milliseconds()
	if duration%time.Millisecond != 0 || millis < lowest || millis > maxDurationMillis {
		r.report(e.place, "%s must be from %dms to %ds, in whole milliseconds", e.key, lowest, maxDurationMillis/1000)
	}
	return millis
}

// bytes reads a size in bytes, with an optional unit, such as 64KiB.
func (r *reader) bytes(e entry) int64 {
	text, ok := e.value.(*ast.StringNode)
	if !ok {
		return r.integer(e, 1, maxBodyLimitBytes)
	}
	for _, u := range sizeUnits {
		if count, found := strings.CutSuffix(text.Value, u.suffix); found {
			return u.bytes * r.parseInteger(e, count, 1, maxBodyLimitBytes/u.bytes)
		}
	}
	r.report(e.place, "%s %q isn't a size such as 4096, 64KiB, 10MiB or 1GiB", e.key, text.Value)
	return 0
}
