// Package notice holds what a target says of itself in a heartbeat.
package notice

// Notice is one heartbeat of a target. It's a value.
type Notice struct {
	// Target identifies one incarnation of a target, mostly: a target may
	// start again under the ID that it had.
	Target  string
	Address string
	Service string
	// Slots is how many requests the target runs at once.
	Slots int
	// Leaving says that the target takes no new work.
	Leaving bool
	// BornMillis is when the target started, by its wall clock.
	BornMillis int64
	// Sequence grows with each heartbeat of one start.
	Sequence int64
	// ColdMillis is how much longer the target is slow after its start.
	ColdMillis int64
}

// Newer tells whether the notice was sent after the other one, as far as start
// times and sequences tell.
func (n Notice) Newer(other Notice) bool {
	if n.BornMillis != other.BornMillis {
		return n.BornMillis > other.BornMillis
	}
	return n.Sequence > other.Sequence
}

// WithLeaving returns the notice of a target that takes no new work.
func (n Notice) WithLeaving() Notice {
	n.Leaving = true
	return n
}
