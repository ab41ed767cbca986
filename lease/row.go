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

// candidate is a node that may be put into an order of succession.
type candidate struct {
	place
	centre string
	weight uint64
}

// SetMembers tells which nodes there are. The map is shared and must not
// change afterwards. A higher incarnation on an ID proves the lower ones gone;
// a record that calls a member dead proves nothing here, because it may rest on
// silence.
func (l *Lease) SetMembers(roster map[string]member.Member) {
	l.roster = roster
	l.checkRoster()
}

// checkRoster looks for members that have been replaced on their address.
func (l *Lease) checkRoster() {
	for _, p := range l.order {
		l.ConfirmDead(p.ID, l.roster[p.ID].Incarnation-1)
	}
}

// Candidates returns the first nodes of the team's own order of preference, in
// which all nodes agree; the team's name picks them, so that the homes spread.
func (l *Lease) Candidates(most int) []string {
	all := l.ranked()
	ids := make([]string, 0, most)
	for _, c := range all[:min(most, len(all))] {
		ids = append(ids, c.ID)
	}
	return ids
}

// ranked returns all nodes that may be put into an order, best first.
func (l *Lease) ranked() []candidate {
	all := make([]candidate, 0, len(l.roster))
	for _, m := range l.roster {
		if m.Dead || m.Leaving {
			continue
		}
		all = append(all, candidate{
			place:  place{ID: m.ID, Incarnation: m.Incarnation},
			centre: m.Centre,
			weight: xxhash.Sum64String(l.team + "/" + m.ID),
		})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// ReadDone takes the answer to a read of the row. Failed says that the table gave
// none.
func (l *Lease) ReadDone(r record.Record, found, failed bool) {
	now := l.clock.Now()
	var v row
	if found && !failed {
		if err := cbor.Unmarshal(r.Value, &v); err == nil && validOrder(v.Order) {
			l.adopt(r.Version, v.Order, now)
		}
	}
	if l.phase != reading {
		return
	}
	l.phase = idle
	l.triedAt = now
	stands := found && r.Version == l.version || !found && l.version == 0
	if !failed && stands && l.wanted(now) {
		l.phase = claiming
	}
}

// WriteDone takes the outcome of a write. Failed says that it isn't known.
func (l *Lease) WriteDone(token string, applied, failed bool) {
	if l.phase != writing || token != l.token() || failed {
		return
	}
	now := l.clock.Now()
	if applied {
		l.mine = l.version + 1
		l.adopt(l.version+1, l.proposal, now)
		l.announce()
		return
	}
	l.ports.get()
}

// ReadRow reads the row from the table, at most every retryMillis.
func (l *Lease) ReadRow() {
	now := l.clock.Now()
	if now-l.triedAt >= retryMillis {
		l.triedAt = now
		l.ports.get()
	}
}

// succeed moves a change of the row on.
func (l *Lease) succeed(now int64) {
	switch l.phase {
	case idle:
		if now-l.triedAt < retryMillis || now-l.checkedAt < checkMillis {
			return
		}
		l.checkedAt = now
		if l.wanted(now) {
			l.phase = reading
			l.triedAt = now
			l.ports.get()
		}
	case reading:
		if now-l.triedAt >= readMillis {
			l.phase = idle
		}
	case claiming:
		if !l.wanted(now) {
			l.phase = idle
		} else if l.version == 0 || !l.isMember() || now-l.promisedAt > longest(leaseMillis) {
			l.propose(now)
		}
	case writing:
		if now-l.triedAt >= retryMillis {
			l.put(now)
		}
	}
}

// rescuers is the number of nodes that may create or rescue a row.
const rescuers = 8

// checkMillis is the time between two looks at the order's fitness.
const checkMillis = 50

// readMillis is how long an answer of the table is waited for.
const readMillis = 3000

// longest is how long a time of another node's clock may last on this one's.
func longest(millis int64) int64 {
	return millis + millis*driftPerCent/100 + marginMillis
}

func (l *Lease) propose(now int64) {
	l.proposal = l.successors(now)
	if len(l.proposal) == 0 {
		l.phase = idle
		return
	}
	l.phase = writing
	l.writes++
	l.put(now)
}

// put sends the write. A repeat carries the same token, so that the table
// applies it once and tells the first outcome.
func (l *Lease) put(now int64) {
	l.triedAt = now
	l.ports.put(l.token(), encode(row{Order: l.proposal}), l.version)
}

func (l *Lease) token() string {
	return fmt.Sprintf("%s/%s/%d/%d/%d", l.team, l.self.ID, l.self.Incarnation, l.version, l.writes)
}

// announce tells the new order to the members and to the other nodes' asks.
func (l *Lease) announce() {
	for _, p := range l.order {
		if p != l.self {
			l.SendRow(p.ID)
		}
	}
}

// wanted tells whether this node should write another order now.
func (l *Lease) wanted(now int64) bool {
	if len(l.roster) == 0 {
		return false
	}
	if !l.isMember() {
		return l.Owner() == "" && l.inTurn(now)
	}
	if !l.leads(now) {
		return false
	}
	for _, p := range l.order {
		if p == l.self && l.leaves(p) || p != l.self && l.unfit(p, now) {
			return true
		}
	}
	return len(l.order) < orderLength && len(l.ranked()) > len(l.order)
}

// leads tells whether all members before this one are unable to lead.
func (l *Lease) leads(now int64) bool {
	for _, p := range l.order {
		if p == l.self {
			return true
		}
		if !l.isGone(p) && !l.silent(p, now) {
			return false
		}
	}
	return false
}

// inTurn spreads the nodes that create a row, or rescue one whose members are
// all gone, over time.
func (l *Lease) inTurn(now int64) bool {
	for i, id := range l.Candidates(rescuers) {
		if id == l.self.ID {
			return now-l.learnedAt >= int64(i)*retryMillis
		}
	}
	return false
}

func (l *Lease) silent(p place, now int64) bool {
	k := l.links[p.ID]
	return k != nil && now-k.heardAt >= silentMillis
}

func (l *Lease) unfit(p place, now int64) bool {
	return l.isGone(p) || l.silent(p, now) || l.leaves(p)
}

// leaves tells whether a member leaves and another node can replace it.
func (l *Lease) leaves(p place) bool {
	m := l.roster[p.ID]
	return m.Leaving && m.Incarnation == p.Incarnation && len(l.ranked()) > 0
}

// successors returns the next order: this node first, then the members that
// are fit, then other nodes, from data centres not yet in it while there are
// any. A node that leaves isn't in it.
func (l *Lease) successors(now int64) []place {
	var next []place
	centres := make(map[string]bool)
	all := l.ranked()
	add := func(fits func(c candidate) bool) {
		for _, c := range all {
			usable := !l.isGone(c.place) && !l.silent(c.place, now)
			if len(next) < orderLength && usable && !slices.Contains(next, c.place) && fits(c) {
				next = append(next, c.place)
				centres[c.centre] = true
			}
		}
	}
	add(func(c candidate) bool { return c.place == l.self })
	add(func(c candidate) bool { return slices.Contains(l.order, c.place) })
	add(func(c candidate) bool { return !centres[c.centre] })
	add(func(candidate) bool { return true })
	return next
}
