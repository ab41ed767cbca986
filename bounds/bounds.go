// Package bounds holds the lowest admission threshold along a chain of calls,
// as responses carry it back to the entry.
package bounds

import (
	"fmt"

	"bergamotloom.example/level"
)

// Bounds holds the admission thresholds of the service that restricts a chain of
// calls most. It's a value.
type Bounds struct {
	// Service names the service whose gates have these thresholds.
	Service string
	// Threshold is the admission threshold for the least restricted team,
	// TeamLevel the one for the request's own team.
	Threshold level.Level
	TeamLevel level.Level
}

// None returns the bounds of an unrestricted chain.
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

// Encode returns the header value, such as "2048 2048 stock".
func (b Bounds) Encode() string {
	return fmt.Sprintf("%d %d %s", b.Threshold, b.TeamLevel, b.Service)
}

// Decode parses the form that Encode returns. A malformed text gives None.
func Decode(text string) Bounds {
	b := None()
	if _, err := fmt.Sscanf(text, "%d %d %s", &b.Threshold, &b.TeamLevel, &b.Service); err != nil {
		return None()
	}
	return b
}
