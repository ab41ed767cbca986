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

// Level is an admission threshold between 0 (admit nothing) and Full. Ranks
// below the rank that it falls in are admitted whole, that rank in part, and
// the ranks above it not at all.
type Level int32

// New returns the level that admits the share (0 to 1) of rank r, all of the
// more important ranks and none of the others.
func New(r rank.Rank, share float64) Level {
	return Level(int(r)*Steps + int(share*Steps)).clamp()
}

// Share returns the part of the requests of rank r that the level admits.
func (l Level) Share(r rank.Rank) float64 {
	share := float64(int(l)-int(r)*Steps) / Steps
	return min(max(share, 0), 1)
}

// Raise returns the level moved up by the number of steps, at most to Full.
func (l Level) Raise(steps int) Level {
	return (l + Level(steps)).clamp()
}

func (l Level) clamp() Level {
	return min(max(l, 0), Full)
}
