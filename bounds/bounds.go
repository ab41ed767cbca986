// Package bounds holds the lowest admission threshold along a chain of calls,
// as answers carry it back to the entry.
package bounds

import (
	"fmt"

	"bergamotloom.example/level"
)

// Bounds says which service restricts a chain of calls most. It's a value.
type Bounds struct {
	// Service names the service whose gates have that threshold.
	Service string
	// Threshold is the level up to which its gate admits the least restricted
	// team, TeamLevel the same for the request's own team.
	Threshold level.Level
	TeamLevel level.Level
}

// None returns the bounds of a chain that nothing restricts.
func None() Bounds {
	return Bounds{Threshold: level.Full, TeamLevel: level.Full}
}

// Lower returns the one that restricts the request's team more.
func (b Bounds) Lower(other Bounds) Bounds {
	if other.TeamLevel < b.TeamLevel {
		return other
	}
	return b
}

// Encode returns the form in a header, as "2048 2048 stock".
func (b Bounds) Encode() string {
	return fmt.Sprintf("%d %d %s", b.Threshold, b.TeamLevel, b.Service)
}

// Decode reads the form that Encode writes. What can't be read restricts
// nothing.
func Decode(text string) Bounds {
	b := None()
	if _, err := fmt.Sscanf(text, "%d %d %s", &b.Threshold, &b.TeamLevel, &b.Service); err != nil {
		return None()
	}
	return b
}
