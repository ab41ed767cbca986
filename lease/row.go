package lease

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"bergamotloom.example/member"
	"bergamotloom.example/record"
)

// candidate is a node that may become a member of an order of succession.
type candidate struct {
	memberRef
	centre string
	weight uint64
}

// SetFleet sets all nodes of the fleet. The map is shared and must not change
// afterwards. A higher incarnation on an ID confirms that the lower ones are
// dead; a record with the dead flag doesn't confirm that the node is dead, because
// it may be due to silence only.
func (l *Lease) SetFleet(fleet map[string]member.Member) {
	l.fleet = fleet
	l.checkReplaced()
}

// checkReplaced looks for members of the order that have been replaced on their
// address.
func (l *Lease) checkReplaced() {
	for _, p := range l.order {
		l.ConfirmDead(p.ID, l.fleet[p.ID].Incarnation-1)
	}
}

// Candidates returns the IDs of the first nodes, at most limit, in the team's
// ranking, which is the same at all nodes. It's by a hash of the team's name and the
// node's ID, so that the owners are spread over the nodes.
func (l *Lease) Candidates(limit int) []string {
	all := l.rankedCandidates()
	ids := make([]string, 0, limit)
	for _, c := range all[:min(limit, len(all))] {
		ids = append(ids, c.ID)
	}
	return ids
}

// rankedCandidates returns all nodes that may become members, best first.
func (l *Lease) rankedCandidates() []candidate {
	all := make([]candidate, 0, len(l.fleet))
	for _, m := range l.fleet {
		if m.Dead || m.Leaving {
			continue
		}
		all = append(all, candidate{
			memberRef: memberRef{ID: m.ID, Incarnation: m.Incarnation},
			centre:    m.Centre,
			weight:    xxhash.Sum64String(l.team + "/" + m.ID),
		})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// ReadDone takes the result of a read of the row. If failed is true, the table
// didn't respond.
func (l *Lease) ReadDone(r record.Record, found, failed bool) {
	now := l.clock.Now()
	var v row
	if found && !failed {
		if err := cbor.Unmarshal(r.Value, &v); err == nil && validOrder(v.Order) {
			l.applyRow(r.Version, v.Order, now)
		}
	}
	if l.phase != reading {
		return
	}
	l.phase = idle
	l.attemptedAt = now
	isCurrent := found && r.Version == l.version || !found && l.version == 0
	if !failed && isCurrent && l.needsNewOrder(now) {
		l.phase = awaitingExpiry
	}
}

// WriteDone takes the outcome of a write. If failed is true, the outcome is
// unknown.
func (l *Lease) WriteDone(token string, applied, failed bool) {
	if l.phase != writing || token != l.token() || failed {
		return
	}
	now := l.clock.Now()
	if applied {
		// applyRow checks writtenVersion.
		l.writtenVersion = l.version + 1
		l.applyRow(l.version+1, l.proposal, now)
		l.announce()
		return
	}
	// Another node's write succeeded. The row that it wrote ends this phase.
	l.callbacks.readRow()
}

// ReadRow reads the row from the table, at most every tableRetryMillis (300 ms).
func (l *Lease) ReadRow() {
	now := l.clock.Now()
	if now-l.attemptedAt >= tableRetryMillis {
		l.attemptedAt = now
		l.callbacks.readRow()
	}
}

// advance continues a change of the row.
func (l *Lease) advance(now int64) {
	switch l.phase {
	case idle:
		if now-l.attemptedAt < tableRetryMillis || now-l.orderCheckedAt < orderCheckMillis {
			return
		}
		l.orderCheckedAt = now
		if l.needsNewOrder(now) {
			l.phase = reading
			l.attemptedAt = now
			l.callbacks.readRow()
		}
	case reading:
		if now-l.attemptedAt >= readTimeoutMillis {
			l.phase = idle
		}
	case awaitingExpiry:
		if !l.needsNewOrder(now) {
			l.phase = idle
		} else if l.version == 0 || !l.isMember() || now-l.confirmedAt > withClockDrift(leaseMillis) {
			l.propose(now)
		}
	case writing:
		if now-l.attemptedAt >= tableRetryMillis {
			l.writeRow(now)
		}
	}
}

// maxRowCreators is the number of nodes that may create a row, or replace one
// whose members are all dead.
const maxRowCreators = 8

// orderCheckMillis is the time between two checks whether the order has to
// change.
const orderCheckMillis = 50

// readTimeoutMillis is the timeout of a read of the table.
const readTimeoutMillis = 3000

// withClockDrift returns how long this node must wait by its own clock until the
// given time has passed on any node's clock.
func withClockDrift(millis int64) int64 {
	return millis + millis*clockDriftPercent/100 + clockMarginMillis
}

func (l *Lease) propose(now int64) {
	l.proposal = l.nextOrder(now)
	if len(l.proposal) == 0 {
		l.phase = idle
		return
	}
	l.phase = writing
	l.writes++
	l.writeRow(now)
}

// writeRow sends the write. A repeat has the same token, so that the table
// applies it once and returns the first outcome.
func (l *Lease) writeRow(now int64) {
	l.attemptedAt = now
	l.callbacks.writeRow(l.token(), encode(row{Order: l.proposal}), l.version)
}

func (l *Lease) token() string {
	return fmt.Sprintf("%s/%s/%d/%d/%d", l.team, l.self.ID, l.self.Incarnation, l.version, l.writes)
}

// announce sends the new row to the other members.
func (l *Lease) announce() {
	for _, p := range l.order {
		if p != l.self {
			l.SendRow(p.ID)
		}
	}
}

// needsNewOrder reports whether this node should write a new order now.
func (l *Lease) needsNewOrder(now int64) bool {
	if len(l.fleet) == 0 {
		return false
	}
	if !l.isMember() {
		return l.Owner() == "" && l.isTurn(now)
	}
	if !l.canLead(now) {
		return false
	}
	for _, p := range l.order {
		if p == l.self && l.isReplaceableLeaving(p) || p != l.self && l.needsReplacement(p, now) {
			return true
		}
	}
	return len(l.order) < orderLength && len(l.rankedCandidates()) > len(l.order)
}

// canLead reports whether all members before this one are dead or silent.
func (l *Lease) canLead(now int64) bool {
	for _, p := range l.order {
		if p == l.self {
			return true
		}
		if !l.isDead(p) && !l.isSilent(p, now) {
			return false
		}
	}
	return false
}

// isTurn reports whether this node may now create a row, or replace one whose
// members are all dead. It gives each candidate a different delay, so that they
// don't all write at once.
func (l *Lease) isTurn(now int64) bool {
	for i, id := range l.Candidates(maxRowCreators) {
		if id == l.self.ID {
			return now-l.rowLearnedAt >= int64(i)*tableRetryMillis
		}
	}
	return false
}

func (l *Lease) isSilent(p memberRef, now int64) bool {
	peer := l.peers[p.ID]
	return peer != nil && now-peer.lastSeenMillis >= silentMillis
}

func (l *Lease) needsReplacement(p memberRef, now int64) bool {
	return l.isDead(p) || l.isSilent(p, now) || l.isReplaceableLeaving(p)
}

// isReplaceableLeaving reports whether a member is leaving and another node can
// replace it.
func (l *Lease) isReplaceableLeaving(p memberRef) bool {
	m := l.fleet[p.ID]
	return m.Leaving && m.Incarnation == p.Incarnation && len(l.rankedCandidates()) > 0
}

// nextOrder returns the next order: this node first, then the usable current
// members, then other nodes, first those of data centres that aren't in it yet.
// Leaving nodes aren't in it.
func (l *Lease) nextOrder(now int64) []memberRef {
	var next []memberRef
	centres := make(map[string]bool)
	all := l.rankedCandidates()
	add := func(fits func(c candidate) bool) {
		for _, c := range all {
			usable := !l.isDead(c.memberRef) && !l.isSilent(c.memberRef, now)
			if len(next) < orderLength && usable && !slices.Contains(next, c.memberRef) && fits(c) {
				next = append(next, c.memberRef)
				centres[c.centre] = true
			}
		}
	}
	add(func(c candidate) bool { return c.memberRef == l.self })
	add(func(c candidate) bool { return slices.Contains(l.order, c.memberRef) })
	add(func(c candidate) bool { return !centres[c.centre] })
	add(func(candidate) bool { return true })
	return next
}
