// Package audit holds the audit trail of configuration changes: who changed or
// tried to change what, and when.
package audit

import (
	"fmt"
	"strconv"
	"strings"

	"bergamotloom.example/shasum"
)

const keyPrefix = "audit/"

// BlockKeyPrefix returns the key prefix of all lines of a block of size versions
// from first. Size must be a power of ten and first a multiple of it.
func BlockKeyPrefix(first, size int64) string {
	zeroDigits := len(strconv.FormatInt(size, 10)) - 1
	key := versionKey(first)
	return key[:len(key)-zeroDigits]
}

// versionKey pads the version to 12 digits, so that keys sort by version and the
// keys of a block share a prefix.
func versionKey(version int64) string {
	return fmt.Sprintf("%s%012d", keyPrefix, version)
}

// Line is one change, accepted or refused. It's a value.
type Line struct {
	// Token identifies the attempted change; it's unique among lines.
	Token string
	// Who is the operator's name, When the time in UTC as
	// 2006-01-02T15:04:05.000000Z.
	Who  string
	When string
	// Before and After are the versions in force; they're the same when the
	// change was refused.
	Before int64
	After  int64
	// Changed names the new and changed files, Removed the removed ones.
	Changed []string
	Removed []string
	// Digest identifies the contents that were applied or refused.
	Digest string
	// Refused is the reason of the refusal; it's empty for an accepted change.
	Refused string
}

// WithRefusal returns the line of a change that was refused.
func (l Line) WithRefusal(reason string) Line {
	l.After = l.Before
	l.Refused = reason
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

// String returns the line in readable form.
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
