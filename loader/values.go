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

// sizeUnits lists the units that a number of bytes may end in.
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

// text reads a value that is text; numbers have to be quoted.
func (r *reader) text(e entry) (string, bool) {
	text, ok := e.value.(*ast.StringNode)
	if !ok {
		r.report(e.place, "%s must be text (in quotes, where it looks like something else)", e.key)
		return "", false
	}
	return text.Value, true
}

// texts reads a list of different texts and notes the place of each.
func (r *reader) texts(e entry) []string {
	var all []string
	for _, n := range r.items(e) {
		element := entry{key: "an entry of " + e.key, place: r.place(n.GetToken()), value: n}
		text, ok := r.text(element)
		if !ok {
			continue
		}
		if slices.Contains(all, text) {
			r.report(element.place, "%s stands twice", element.key)
		}
		e.places[elementPlace(e.key, text)] = element.place
		all = append(all, text)
	}
	return all
}

func (r *reader) boolean(e entry) bool {
	value, ok := e.value.(*ast.BoolNode)
	if !ok {
		r.report(e.place, "%s must be true or false", e.key)
		return false
	}
	return value.Value
}

// digits returns the plain decimal number that the value is written as.
func (r *reader) digits(e entry) (string, bool) {
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
	text, ok := r.digits(e)
	if !ok {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// integer reads a whole number within bounds.
func (r *reader) integer(e entry, least, most int64) int64 {
	text, ok := r.digits(e)
	if !ok {
		return 0
	}
	return r.bounded(e, text, least, most)
}

func (r *reader) bounded(e entry, text string, least, most int64) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < least || value > most {
		r.report(e.place, "%s must be a whole number from %d to %d", e.key, least, most)
		return 0
	}
	return value
}

// millis reads a duration with its unit, such as 800ms or 5s.
func (r *reader) millis(e entry, least int64) int64 {
	text, ok := e.value.(*ast.StringNode)
	if !ok {
		r.report(e.place, "%s must be a duration with its unit, such as 800ms or 5s", e.key)
		return 0
	}
	length, err := time.ParseDuration(text.Value)
	if err != nil {
		r.report(e.place, "%s %q isn't a duration such as 800ms or 5s", e.key, text.Value)
		return 0
	}
	millis := length.Milliseconds()
	if length%time.Millisecond != 0 || millis < least || millis > maxDurationMillis {
		r.report(e.place, "%s must be from %dms to %ds, in whole milliseconds", e.key, least, maxDurationMillis/1000)
	}
	return millis
}

// bytes reads a size: a number of bytes, or one with a unit, such as 64KiB.
func (r *reader) bytes(e entry) int64 {
	text, ok := e.value.(*ast.StringNode)
	if !ok {
		return r.integer(e, 1, maxBodyLimit)
	}
	for _, u := range sizeUnits {
		if count, found := strings.CutSuffix(text.Value, u.suffix); found {
			return u.bytes * r.bounded(e, count, 1, maxBodyLimit/u.bytes)
		}
	}
	r.report(e.place, "%s %q isn't a size such as 4096, 64KiB, 10MiB or 1GiB", e.key, text.Value)
	return 0
}
