// Package audit holds the trail of changes: who changed or tried to change
// what, and when.
package audit

import (
	"fmt"
	"strconv"
	"strings"

	"bergamotloom.example/shasum"
)

const prefix = "audit/"

// Block returns the prefix of the keys of all lines of a block of versions.
// Size is a power of ten and first a multiple of it.
func Block(first, size int64) string {
	zeros := len(strconv.FormatInt(size, 10)) - 1
	key := versionKey(first)
	return key[:len(key)-zeros]
}

func versionKey(version int64) string {
	return fmt.Sprintf("%s%012d", prefix, version)
}

// Line is one change, accepted or refused. It's a value.
type Line struct {
	// Token names the attempt; no two lines have the same.
	Token string
	Who   string
	When  string
	// Before and After are the versions in force; they're the same when the
	// change was refused.
	Before int64
	After  int64
	// Changed names the new and changed files, Removed the removed ones.
	Changed []string
	Removed []string
	// Digest names what was applied or refused.
	Digest string
	// Refused says why; it's empty for an accepted change.
	Refused string
}

// WithRefusal returns the line of a change that was refused.
func (l Line) WithRefusal(why string) Line {
	l.After = l.Before
	l.Refused = why
	return l
}

// Key returns the line's key in the table: accepted changes sort by version,
// and refused ones after the version that they were checked against.
func (l Line) Key() string {
	if l.Refused == "" {
		return versionKey(l.After)
	}
	return fmt.Sprintf("%s-%s-%s", versionKey(l.Before), l.When, l.Token)
}

// String returns the line for people.
func (l Line) String() string {
	outcome := fmt.Sprintf("%d -> %d accepted", l.Before, l.After)
	if l.Refused != "" {
		outcome = fmt.Sprintf("%d refused", l.Before)
	}
	text := fmt.Sprintf("%s  %s  %s  %s", l.When, l.Who, outcome, shasum.Short(l.Digest))
	if len(l.Changed) > 0 {
		text += "  changed " + strings.Join(l.Changed, ", ")
	}
	if len(l.Removed) > 0 {
		text += "  removed " + strings.Join(l.Removed, ", ")
	}
	if l.Refused != "" {
		text += "  (" + l.Refused + ")"
	}
	return text
}
