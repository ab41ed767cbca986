package trial

import (
	"fmt"

	"github.com/pkg/errors"

	"bergamotloom.example/member"
	"bergamotloom.example/quota"
	"bergamotloom.example/record"
	"bergamotloom.example/write"
)

// ownerLimiter is the rate limiter of this project, package quota: the owner of a
// team's tokens grants them to the other nodes.
type ownerLimiter struct {
	world            *world
	members          []member.Member
	quotas           [nodes]*quota.Quota
	rows             map[string]record.Record
	tableUnavailable bool
}

func newOwnerLimiter(w *world) *ownerLimiter {
	o := &ownerLimiter{world: w, rows: make(map[string]record.Record)}
	for i := range nodes {
		o.members = append(o.members, member.Member{
			ID:          fmt.Sprintf("10.0.%d.%d:7000", i%3, i),
			Incarnation: w.now,
			Centre:      fmt.Sprint("centre", i%3),
		})
	}
	for i := range nodes {
		o.start(i)
	}
	return o
}

func (o *ownerLimiter) start(i int) {
	m := o.members[i]
	q := quota.New(m.ID, m.Incarnation, o.world.clock, uint64(i), func(to string, body []byte) {
		o.send(i, o.index(to), body)
	})
	o.quotas[i] = q
	q.SetTable(
		func(key string) { o.read(q, key) },
		func(token string, change write.Write) { o.write(q, token, change) },
	)
	q.SetMembers(o.members)
	q.SetTeams(teams())
}

func (o *ownerLimiter) index(id string) int {
	for i, m := range o.members {
		if m.ID == id {
			return i
		}
	}
	return 0
}

func (o *ownerLimiter) send(from, to int, body []byte) {
	o.world.deliver(len(body), func() {
		if o.world.alive[to] {
			o.quotas[to].Receive(o.members[from].ID, body)
			return
		}
		// The connection is refused, so the node is confirmed dead.
		o.quotas[from].ConfirmDead(o.members[to].ID, o.members[to].Incarnation)
	})
}

var errTableUnavailable = errors.New("the table is unavailable")

// tableError returns an error while the table is unavailable.
func (o *ownerLimiter) tableError() error {
	if o.tableUnavailable {
		return errTableUnavailable
	}
	return nil
}

func (o *ownerLimiter) read(q *quota.Quota, key string) {
	o.world.reads++
	o.world.after(tableMillis, func() {
		r, found := o.rows[key]
		q.ReadDone(key, r, found, o.tableError())
	})
}

func (o *ownerLimiter) write(q *quota.Quota, token string, change write.Write) {
	o.world.writes++
	o.world.after(tableMillis, func() {
		err := o.tableError()
		applied := err == nil && o.rows[change.Key].Version == change.IfVersion
		if applied {
			o.rows[change.Key] = record.Record{Key: change.Key, Value: change.Value, Version: change.IfVersion + 1}
		}
		q.WriteDone(change.Key, token, applied, err)
	})
}

func (o *ownerLimiter) request(node, team int, done func(bool)) {
	o.quotas[node].TakeOrWait(teams()[team].Name, func(granted, _ bool, _ int64) { done(granted) })
}

func (o *ownerLimiter) tick(node int) { o.quotas[node].Tick() }

// handleNodeDeath does nothing: a refused connection shows the death to the nodes.
func (o *ownerLimiter) handleNodeDeath(int) {}

func (o *ownerLimiter) failTable() { o.tableUnavailable = true }
