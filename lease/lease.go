// Package lease decides which node is the owner of one team: the only one that
// may grant tokens from the team's bucket.
//
// One row of the platform's table contains the order of succession: a few
// members, each an incarnation of a node. The row's version is the term. The
// first member that isn't confirmed dead is the head. It may act as owner only
// while it holds a lease from every other member. A lease lasts leaseMillis,
// counted from when the head sent the heartbeat that the member confirmed. A
// member that was confirmed dead before its lease ended needn't confirm any more.
// A silent member isn't taken for dead.
//
// A member writes the next term only when its last confirmation of the current
// term is older than the longest lease. So from the moment of the write no
// other node can act in the old term, and at any moment at most one node acts:
// the head of the latest term. The write is conditional on the row's version,
// so that of several writers one succeeds. While the table is unavailable
// nobody can write and the current term continues; dead members are then passed
// over once they are confirmed dead, down to the last one.
package lease

import (
	"bergamotloom.example/clock"
	"bergamotloom.example/member"
)

const (
	// heartbeatMillis is the time between heartbeats to each other member.
	heartbeatMillis = 400
	// leaseMillis is how long a confirmation is valid, counted from when the
	// confirmed heartbeat was sent.
	leaseMillis = 1600
	// silentMillis is the time without a heartbeat after which a member may be
	// replaced.
	silentMillis = 900
	// clockMarginMillis and clockDriftPercent allow for clocks that run at
	// different speeds.
	clockMarginMillis = 50
	clockDriftPercent = 2
	// minHeartbeatMillis is the min time between two heartbeats to one member when
	// it replies to heartbeats.
	minHeartbeatMillis = 40
	// tableRetryMillis is the delay before a read or write of the table is
	// repeated.
	tableRetryMillis = 300
	// orderLength is the number of members that a term should have.
	orderLength = 3
	// heartbeatHistory is how many heartbeats back a confirmation may refer to.
	heartbeatHistory = 32
)

// peerState is a member's state of one other member in the current term.
type peerState struct {
	// seq numbers the heartbeats to it; sentAt holds the times of the last ones.
	seq         int64
	sentAt      [heartbeatHistory]int64
	heartbeatAt int64
	// receivedSeq is the number of its last heartbeat, which the next heartbeat
	// to it confirms.
	receivedSeq    int64
	lastSeenMillis int64
	// isConfirmed is true once a heartbeat of it was confirmed in this term.
	isConfirmed bool
	// leaseEndMillis is when the lease from it ends.
	leaseEndMillis int64
	// confirmedDeadDuringLease is true if the member was confirmed dead before its lease
	// ended; no further lease from it is needed.
	confirmedDeadDuringLease bool
}

// phase is a member's progress in writing the next term.
type phase int

const (
	idle phase = iota
	// reading reads the row to check that the term is still the latest and that
	// the table responds.
	reading
	// awaitingExpiry has stopped confirming and waits for all leases to end.
	awaitingExpiry
	// writing has sent the write and repeats it until the outcome is known.
	writing
)

// callbacks send messages and access the table. They must not block or call
// methods of the Lease.
type callbacks struct {
	send     func(to string, body []byte)
	readRow  func()
	writeRow func(token string, value []byte, ifVersion int64)
}

// Lease is one node's view of the owner of one team. It isn't safe for
// concurrent use.
type Lease struct {
	self      memberRef
	team      string
	clock     clock.Clock
	callbacks callbacks

	version int64
	order   []memberRef
	peers   map[string]*peerState
	// dead holds the highest incarnation confirmed dead, by ID.
	dead map[string]int64
	// fleet holds all nodes, by ID.
	fleet map[string]member.Member

	phase phase
	// confirmedAt is when this node last confirmed the term, attemptedAt when it
	// last accessed the row.
	confirmedAt    int64
	attemptedAt    int64
	orderCheckedAt int64
	// writes is the number of proposals, which is a part of the token.
	writes   int64
	proposal []memberRef
	// writtenVersion is the last version that this node wrote itself.
	writtenVersion int64

	rowLearnedAt   int64
	isHead         bool
	epoch          int64
	takeoverMillis int64
	isFirstOwner   bool
}

// New returns the Lease of a node that knows no row yet. The functions send a
// body to the Lease of the same team on another node, read the team's row, and
// write it; the results come back through Receive, ReadDone and WriteDone.
func New(self string, incarnation int64, team string, c clock.Clock,
	send func(to string, body []byte), readRow func(),
	writeRow func(token string, value []byte, ifVersion int64),
) *Lease {
	return &Lease{
		self:         memberRef{ID: self, Incarnation: incarnation},
		team:         team,
		clock:        c,
		callbacks:    callbacks{send: send, readRow: readRow, writeRow: writeRow},
		peers:        make(map[string]*peerState),
		dead:         make(map[string]int64),
		rowLearnedAt: c.Now(),
	}
}

// Acting reports whether this node is the owner now.
func (l *Lease) Acting() bool {
	if !l.isHead {
		return false
	}
	if l.phase == writing && l.proposal[0] != l.self {
		return false
	}
	now := l.clock.Now()
	for _, peer := range l.peers {
		if !peer.confirmedDeadDuringLease && now >= peer.leaseEndMillis {
			return false
		}
	}
	return true
}

// Epoch returns the number of the current epoch, an uninterrupted time as head:
// the bucket is kept during one epoch and created anew for the next. From
// takeoverMillis on no earlier owner grants tokens; isFirstOwner says that there was
// no earlier owner.
func (l *Lease) Epoch() (epoch, takeoverMillis int64, isFirstOwner bool) {
	return l.epoch, l.takeoverMillis, l.isFirstOwner
}

// Version returns the term, or 0 while no row is known.
func (l *Lease) Version() int64 {
	return l.version
}

// Owner returns the ID of the node to request tokens from, the first member of
// the term that isn't confirmed dead, or an empty string while none is known.
func (l *Lease) Owner() string {
	for _, p := range l.order {
		if !l.isDead(p) {
			return p.ID
		}
	}
	return ""
}

// Succession returns the IDs of the members of the order of succession, in order.
func (l *Lease) Succession() []string {
	ids := make([]string, 0, len(l.order))
	for _, p := range l.order {
		ids = append(ids, p.ID)
	}
	return ids
}

// ConfirmDead records that an incarnation and all earlier ones on the same ID are
// confirmed dead: a connection was refused, or a newer incarnation runs there.
func (l *Lease) ConfirmDead(id string, incarnation int64) {
	if incarnation <= l.dead[id] {
		return
	}
	l.dead[id] = incarnation
	peer := l.peers[id]
	if peer == nil || !l.isDead(l.memberWithID(id)) {
		return
	}
	// A member confirmed dead during its lease can't have written a new term; after
	// the lease it may have.
	if l.clock.Now() < peer.leaseEndMillis {
		peer.confirmedDeadDuringLease = true
	}
	l.updateHead(l.clock.Now())
}

// Tick sends heartbeats and continues a change of the row.
func (l *Lease) Tick() {
	now := l.clock.Now()
	if l.isMember() {
		l.sendHeartbeats(now)
	}
	l.advance(now)
}

// updateHead starts a new epoch when this node becomes the head of the term.
func (l *Lease) updateHead(now int64) {
	head := l.isMember() && l.Owner() == l.self.ID
	if head && !l.isHead {
		l.epoch++
		l.takeoverMillis = now
		l.isFirstOwner = l.version == 1 && l.order[0] == l.self
	}
	l.isHead = head
}

// applyRow applies a newer row.
func (l *Lease) applyRow(version int64, order []memberRef, now int64) {
	if version <= l.version {
		return
	}
	// The head's epoch continues only if it wrote the new term itself.
	uninterrupted := l.isHead && l.writtenVersion == version && version == l.version+1
	l.version, l.order = version, order
	l.rowLearnedAt = now
	l.phase = idle
	l.confirmedAt = now
	l.peers = make(map[string]*peerState)
	if l.isMember() {
		for _, p := range order {
			if p != l.self {
				l.peers[p.ID] = &peerState{lastSeenMillis: now}
			}
		}
	}
	l.isHead = uninterrupted && l.isMember()
	l.checkReplaced()
	l.updateHead(now)
	if l.isMember() {
		l.sendHeartbeats(now)
	}
}

func (l *Lease) isMember() bool {
	return l.memberWithID(l.self.ID) == l.self
}

func (l *Lease) memberWithID(id string) memberRef {
	for _, p := range l.order {
		if p.ID == id {
			return p
		}
	}
	return memberRef{}
}

func (l *Lease) isDead(p memberRef) bool {
	return p.Incarnation <= l.dead[p.ID]
}
