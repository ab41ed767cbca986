// Package member holds the membership record of a node.
package member

// Member describes one node and the target instance beside it. It's a value:
// the With methods return changed copies.
type Member struct {
	// ID is the node's peer address. An instance that replaces another on the
	// same address has the same ID.
	ID string
	// Incarnation increases with each start on the same ID; only the highest
	// one is alive. It's the start time in milliseconds since 1970.
	Incarnation int64
	// Serial increases with each change that the member makes to its own record.
	Serial int64
	// Service names the service of the target instance; empty without one.
	Service string
	// Centre names the data centre, Region the region that it's in.
	Centre string
	Region string
	// Callers is the address where the node receives callers' requests.
	Callers string
	// Slots is how many requests the target runs at once.
	Slots int
	// Ready is true if the target has announced itself and can take work.
	Ready bool
	// Leaving is true if the instance takes no new work and will stop.
	Leaving bool
	// Suspect is true if the node has been silent for a while. It gets no new
	// work until the node itself refutes the suspicion with a higher Serial.
	Suspect bool
	// Dead is true if the incarnation is confirmed dead: its address refused a
	// connection, or the node said so itself. Nothing revokes it.
	Dead bool
}

// WithSerial returns the record with its next serial number.
func (m Member) WithSerial(serial int64) Member {
	m.Serial = serial
	return m
}

// WithTarget returns the record with the service and slots that the target
// announced.
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

// WithSuspect returns the record of a member that is silent.
func (m Member) WithSuspect() Member {
	m.Suspect = true
	return m
}

// WithIncarnation returns the first record of a new incarnation on the same ID:
// neither suspect nor dead, with serial number 1.
func (m Member) WithIncarnation(incarnation int64) Member {
	m.Incarnation = incarnation
	m.Serial = 1
	m.Suspect = false
	m.Dead = false
	return m
}

// WithDead returns the record of a member that is confirmed dead.
func (m Member) WithDead() Member {
	m.Dead = true
	return m
}

// Newer tells whether the record supersedes the other one of the same ID. A
// confirmed death supersedes all records of its own incarnation, whatever their
// serial numbers, but no later incarnation. A suspicion supersedes the record
// with the same serial number, so that only the member itself can refute it, by
// a higher one.
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

// WithoutTarget returns the record of a node whose target is silent.
func (m Member) WithoutTarget() Member {
	m.Ready = false
	return m
}
