// Package change holds one accepted change of the configuration's files, and
// its CBOR encoding for nodes and the table.
package change

import (
	"maps"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const factKeyPrefix = "config/"

// Change is the difference between Version and the version before it, or, if
// it's Whole, all files of Version. It's used by value; its contents must not
// be modified.
type Change struct {
	// Version counts accepted changes from 1.
	Version int64 `cbor:"1,keyasint"`
	// Whole is true if Contents holds all files of the version, so that the
	// change can be applied to any older version, not only to the one before.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Contents holds new and changed files by name.
	Contents map[string][]byte `cbor:"3,keyasint,omitempty"`
	// Removed holds the names of the removed files.
	Removed []string `cbor:"4,keyasint,omitempty"`
}

// Key returns the key of the fact with which nodes distribute the change:
// "config/" and its version.
func (c Change) Key() string {
	return factKeyPrefix + strconv.FormatInt(c.Version, 10)
}

// Apply returns the files after the change, given the files before it.
func (c Change) Apply(files map[string][]byte) map[string][]byte {
	next := make(map[string][]byte, len(files)+len(c.Contents))
	if !c.Whole {
		maps.Copy(next, files)
	}
	maps.Copy(next, c.Contents)
	for _, name := range c.Removed {
		delete(next, name)
	}
	return next
}

// Encode returns the change in CBOR.
func (c Change) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(c)
	return encoded, errors.Wrap(err, "encoding a change")
}

// Decode returns the change in the CBOR that Encode returned. It returns an
// error if it's malformed or its version isn't positive.
func Decode(encoded []byte) (Change, error) {
	var c Change
	if err := cbor.Unmarshal(encoded, &c); err != nil {
		return Change{}, errors.Wrap(err, "decoding a change")
	}
	if c.Version < 1 {
		return Change{}, errors.Errorf("decoding a change: version %d isn't positive", c.Version)
	}
	return c, nil
}
