// Package notice defines the heartbeat of a target to its node.
package notice

// Notice is one heartbeat of a target. It's an immutable value.
type Notice struct {
	// Target is the ID of the target. Usually each incarnation has a new one, but a
	// target may also restart with the same ID.
	Target  string
	Address string
	Service string
	// Slots is how many requests the target runs at the same time.
	Slots int
	// Leaving says that the target accepts no new requests.
	Leaving bool
	// BornMillis is the target's start time by its wall clock.
	BornMillis int64
	// Sequence grows with each heartbeat of one incarnation.
	Sequence int64
	// ColdMillis is how much longer the target is in its cold start.
	ColdMillis int64
}

// Newer reports whether the notice is of a later start than the other one, or of the
// same start with a higher sequence number.
func (n Notice) Newer(other Notice) bool {
	if n.BornMillis != other.BornMillis {
		return n.BornMillis > other.BornMillis
	}
	return n.Sequence > other.Sequence
}

// WithLeaving returns the notice with Leaving set.
func (n Notice) WithLeaving() Notice {
	n.Leaving = true
	return n
}
