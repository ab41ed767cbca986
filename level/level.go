// Package level holds the admission threshold that a gate sends back to the
// entries, as one small integer.
package level

import "bergamotloom.example/rank"

const (
	// Steps is the number of levels within one rank.
	Steps = 1024
	// Full is the level that admits everything.
	Full = Level(rank.Count * Steps)
)

// Level is an admission threshold between 0 (admit nothing) and Full. It falls
// within one rank, of which a fraction is admitted. Lower, more important ranks
// are fully admitted, higher ones not at all.
type Level int32

// New returns the level that admits the fraction (0 to 1) of rank r, all of the
// more important ranks and none of the others.
func New(r rank.Rank, fraction float64) Level {
	return Level(int(r)*Steps + int(fraction*Steps)).clamp()
}

// AdmittedFraction returns the fraction (0 to 1) of the requests of rank r that
// the level admits.
func (l Level) AdmittedFraction(r rank.Rank) float64 {
	fraction := float64(int(l)-int(r)*Steps) / Steps
	return min(max(fraction, 0), 1)
}

// Raise returns the level increased by the number of steps, up to Full.
func (l Level) Raise(steps int) Level {
	return (l + Level(steps)).clamp()
}

func (l Level) clamp() Level {
	return min(max(l, 0), Full)
}
