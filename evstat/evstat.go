// Package evstat holds what's known of the evacuation of one data centre.
package evstat

import "bergamotloom.example/cursor"

// MaxNameBytes bounds the name of a data centre.
const MaxNameBytes = 64

// maxNumber is far beyond any era or version of a sound store. As the latest position wins,
// a number near the largest one would never be superseded.
const maxNumber = 1 << 53

// Status says whether a data centre is under evacuation, as of a position in the history
// of the store. It's a value.
type Status struct {
	Centre string `cbor:"1,keyasint"`
	// Evacuated is false if the evacuation was withdrawn.
	Evacuated bool `cbor:"2,keyasint,omitempty"`
	// Era and Version are the position.
	Era     int64 `cbor:"3,keyasint,omitempty"`
	Version int64 `cbor:"4,keyasint,omitempty"`
}

// New returns the status of a data centre as of a position.
func New(centre string, evacuated bool, at cursor.Cursor) Status {
	return Status{Centre: centre, Evacuated: evacuated, Era: at.Era, Version: at.Version}
}

// Cursor returns the position as of which the status is known.
func (s Status) Cursor() cursor.Cursor {
	return cursor.Cursor{Era: s.Era, Version: s.Version}
}

// Supersedes reports whether the status is later than another one of the same data centre.
// Of two that differ at the same position, the one that evacuates wins at all nodes.
func (s Status) Supersedes(other Status) bool {
	switch {
	case s.Era != other.Era:
		return s.Era > other.Era
	case s.Version != other.Version:
		return s.Version > other.Version
	}
	return s.Evacuated && !other.Evacuated
}

// IsPossible reports whether a sound node may have sent the status.
func (s Status) IsPossible() bool {
	return s.Centre != "" && len(s.Centre) <= MaxNameBytes &&
		s.Era >= 0 && s.Era <= maxNumber && s.Version >= 0 && s.Version <= maxNumber
}
