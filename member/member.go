// Package member holds the record that tells nodes of one another.
package member

// Member describes one node and the target instance beside it. It's a value:
// the With methods return changed copies.
type Member struct {
	// ID names the slot: the node's peer address. It's the same again when an
	// instance is replaced on the same address.
	ID string
	// Incarnation grows with each start on the same ID; the higher one is the
	// only one alive. It's the start time in milliseconds since 1970.
	Incarnation int64
	// Serial grows with each change that the member makes to its own record.
	Serial int64
	// Service names the service of the target instance; empty without one.
	Service string
	// Centre names the data centre, Region the region that it's in.
	Centre string
	Region string
	// Callers is the address where the node takes requests of callers.
	Callers string
	// Slots is how many requests the target runs at once.
	Slots int
	// Ready says that the target has announced itself and can take work.
	Ready bool
	// Leaving says that the instance takes no new work and will go.
	Leaving bool
	// Suspect says that nobody has heard of the node for a while. It takes no
	// new work, until the node itself refutes it with a higher Serial.
	Suspect bool
	// Dead says that the incarnation is proved to be gone: its address refused
	// a connection, or the node said so itself. Nothing revokes it.
	Dead bool
}

// WithSerial returns the record with its next serial number.
func (m Member) WithSerial(serial int64) Member {
	m.Serial = serial
	return m
}

// WithTarget returns the record with what the target announced of itself.
func (m Member) WithTarget(service string, slots int) Member {
	m.Service = service
	m.Slots = slots
	m.Ready = true
	return m
}

// WithLeaving returns the record of a member that takes no new work.
func (m Member) WithLeaving() Member {
	m.Leaving = true
	return m
}

// WithSuspect returns the record of a member that nobody hears of.
func (m Member) WithSuspect() Member {
	m.Suspect = true
	return m
}

// WithIncarnation returns the record of the first moment of a new life on the
// same ID: neither suspect nor dead, and with the first serial number.
func (m Member) WithIncarnation(incarnation int64) Member {
	m.Incarnation = incarnation
	m.Serial = 1
	m.Suspect = false
	m.Dead = false
	return m
}

// WithDead returns the record of a member that is gone.
func (m Member) WithDead() Member {
	m.Dead = true
	return m
}

// Newer tells whether the record supersedes the other one of the same ID. A
// proved death ends its own incarnation only, whatever the serial numbers say.
// A suspicion holds against the serial number that it was raised at, so that
// only the member itself, with a higher one, refutes it.
func (m Member) Newer(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Dead != other.Dead {
		return m.Dead
	}
	if m.Serial != other.Serial {
		return m.Serial > other.Serial
	}
	return m.Suspect && !other.Suspect
}

// TakesWork tells whether new requests may be sent to the member's target.
func (m Member) TakesWork() bool {
	return m.Ready && !m.Leaving && !m.Suspect && !m.Dead
}

// WithoutTarget returns the record of a node whose target went silent.
func (m Member) WithoutTarget() Member {
	m.Ready = false
	return m
}
