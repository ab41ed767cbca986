// Package lease decides which node is the home of one team: the only one that
// may grant tokens from the team's bucket.
//
// One row of the platform's table names the home's order of succession: a few
// members, each an incarnation of a node. The row's version is the term. Of
// the members, the first one that isn't proven gone is the head. It may act as
// home only while it holds a lease from every other member, that is, while
// each has confirmed the term within leaseMillis of a heartbeat of its own. A
// member that was proven gone while its lease was in force needn't confirm
// any more. Silence proves nothing.
//
// A member may write the next term only after it has confirmed the present one
// to nobody for longer than any lease lasts. So when the write is made, no
// other node can act in the old term, then or ever, and at any moment at most
// one node acts: the head of the latest term. The condition on the row's
// version picks one of several writers. While the table is out nobody can
// write, and the present term goes on; the death of members is then covered by
// proof, down to the last one.
package lease

import (
	"bergamotloom.example/clock"
	"bergamotloom.example/member"
)

const (
	// beatMillis is the time between heartbeats to each other member.
	beatMillis = 400
	// leaseMillis is how long a confirmation lasts, counted from the moment
	// when the confirmed heartbeat was sent.
	leaseMillis = 1600
	// silentMillis without a heartbeat makes a member a candidate to be
	// replaced.
	silentMillis = 900
	// marginMillis and driftPerCent cover clocks that run at other speeds.
	marginMillis = 50
	driftPerCent = 2
	// quickMillis is the least time between two heartbeats to one member.
	quickMillis = 40
	// retryMillis is the wait before the table is asked again.
	retryMillis = 300
	// orderLength is the number of members that a term should have.
	orderLength = 3
	// ring is how many heartbeats back a confirmation may lie.
	ring = 32
)

// link is what a member knows of one other member in the present term.
type link struct {
	// seq numbers the heartbeats to it; sentAt holds the last ones' times.
	seq    int64
	sentAt [ring]int64
	beatAt int64
	// heard is its last heartbeat's number, which the next one confirms.
	heard   int64
	heardAt int64
	// heldTill is when the lease from it ends.
	heldTill int64
	// excused members were proven gone while their lease was in force.
	excused bool
}

// phase is how far a member is with writing the next term.
type phase int

const (
	idle phase = iota
	// reading asks the table whether the term still stands, and whether the
	// table answers at all.
	reading
	// claiming confirms nothing any more and waits for all leases to end.
	claiming
	// writing has sent its write and repeats it until the outcome is known.
	writing
)

// Ports are the ways out of a Lease. None may call back or wait.
type ports struct {
	send func(to string, body []byte)
	get  func()
	put  func(token string, value []byte, ifVersion int64)
}

// Lease is one node's view of the home of one team. It isn't safe for
// concurrent use.
type Lease struct {
	self  place
	team  string
	clock clock.Clock
	ports ports

	version int64
	order   []place
	links   map[string]*link
	gone    map[string]int64
	roster  map[string]member.Member

	phase      phase
	promisedAt int64
	triedAt    int64
	checkedAt  int64
	writes     int64
	proposal   []place
	mine       int64

	learnedAt int64
	head      bool
	reign     int64
	quietAt   int64
	first     bool
}

// New returns the view of a node that knows nothing yet. The functions send a
// body to the Lease of the same team on another node, read the team's row, and
// write it; their answers come back through Receive, Got and Put.
func New(self string, incarnation int64, team string, c clock.Clock,
	send func(to string, body []byte), get func(),
	put func(token string, value []byte, ifVersion int64),
) *Lease {
	return &Lease{
		self:      place{ID: self, Incarnation: incarnation},
		team:      team,
		clock:     c,
		ports:     ports{send: send, get: get, put: put},
		links:     make(map[string]*link),
		gone:      make(map[string]int64),
		learnedAt: c.Now(),
	}
}

// Acting tells whether this node is the home now.
func (l *Lease) Acting() bool {
	if !l.head {
		return false
	}
	if l.phase == writing && l.proposal[0] != l.self {
		return false
	}
	now := l.clock.Now()
	for _, k := range l.links {
		if !k.excused && now >= k.heldTill {
			return false
		}
	}
	return true
}

// Epoch identifies an unbroken time as head: the bucket is kept during one
// reign and begun anew for the next. QuietMillis is when all earlier homes had
// surely stopped granting; first says that there never was one.
func (l *Lease) Epoch() (reign, quietMillis int64, first bool) {
	return l.reign, l.quietAt, l.first
}

// Version returns the term, 0 while the row isn't known.
func (l *Lease) Version() int64 {
	return l.version
}

// Owner returns the node to ask for tokens, the first member of the term that
// isn't proven gone; empty while none is known.
func (l *Lease) Owner() string {
	for _, p := range l.order {
		if !l.isGone(p) {
			return p.ID
		}
	}
	return ""
}

// Members returns the addresses in the order of succession.
func (l *Lease) Members() []string {
	ids := make([]string, 0, len(l.order))
	for _, p := range l.order {
		ids = append(ids, p.ID)
	}
	return ids
}

// ConfirmDead takes in the proof that an incarnation, and all before it on the same
// ID, are dead: a refused connection, or a newer one on its address.
func (l *Lease) ConfirmDead(id string, incarnation int64) {
	if incarnation <= l.gone[id] {
		return
	}
	l.gone[id] = incarnation
	k := l.links[id]
	if k == nil || !l.isGone(l.placeOf(id)) {
		return
	}
	// Later proof is too late: the member may have written a new term that
	// this node is no part of.
	if l.clock.Now() < k.heldTill {
		k.excused = true
	}
	l.crown(l.clock.Now())
}

// Tick sends heartbeats and moves a change of the row on.
func (l *Lease) Tick() {
	now := l.clock.Now()
	if l.isMember() {
		l.beatAll(now)
	}
	l.succeed(now)
}

// crown notes when this node becomes the head of the term.
func (l *Lease) crown(now int64) {
	head := l.isMember() && l.Owner() == l.self.ID
	if head && !l.head {
		l.reign++
		l.quietAt = now
		l.first = l.version == 1 && l.order[0] == l.self
	}
	l.head = head
}

// adopt puts a newer row in force.
func (l *Lease) adopt(version int64, order []place, now int64) {
	if version <= l.version {
		return
	}
	// Only a head that wrote the next term itself has reigned without a break.
	unbroken := l.head && l.mine == version && version == l.version+1
	l.version, l.order = version, order
	l.learnedAt = now
	l.phase = idle
	l.promisedAt = now
	l.links = make(map[string]*link)
	if l.isMember() {
		for _, p := range order {
			if p != l.self {
				l.links[p.ID] = &link{heardAt: now}
			}
		}
	}
	l.head = unbroken && l.isMember()
	l.checkRoster()
	l.crown(now)
	if l.isMember() {
		l.beatAll(now)
	}
}

func (l *Lease) isMember() bool {
	return l.placeOf(l.self.ID) == l.self
}

func (l *Lease) placeOf(id string) place {
	for _, p := range l.order {
		if p.ID == id {
			return p
		}
	}
	return place{}
}

func (l *Lease) isGone(p place) bool {
	return p.Incarnation <= l.gone[p.ID]
}
