package trial

import (
	"fmt"

	"github.com/pkg/errors"

	"bergamotloom.example/member"
	"bergamotloom.example/quota"
	"bergamotloom.example/record"
	"bergamotloom.example/write"
)

// home is the way that this project uses: package quota.
type home struct {
	world   *world
	members []member.Member
	quotas  [nodes]*quota.Quota
	rows    map[string]record.Record
	out     bool
}

func newHome(w *world) *home {
	h := &home{world: w, rows: make(map[string]record.Record)}
	for i := range nodes {
		h.members = append(h.members, member.Member{
			ID:          fmt.Sprintf("10.0.%d.%d:7000", i%3, i),
			Incarnation: w.now,
			Centre:      fmt.Sprint("centre", i%3),
		})
	}
	for i := range nodes {
		h.start(i)
	}
	return h
}

func (h *home) start(i int) {
	m := h.members[i]
	q := quota.New(m.ID, m.Incarnation, h.world.clock, uint64(i), func(to string, body []byte) {
		h.send(i, h.index(to), body)
	})
	h.quotas[i] = q
	q.SetTable(
		func(key string) { h.read(q, key) },
		func(token string, x write.Write) { h.write(q, token, x) },
	)
	q.SetMembers(h.members)
	q.SetTeams(teams())
}

func (h *home) index(id string) int {
	for i, m := range h.members {
		if m.ID == id {
			return i
		}
	}
	return 0
}

func (h *home) send(from, to int, body []byte) {
	h.world.deliver(len(body), func() {
		if h.world.alive[to] {
			h.quotas[to].Receive(h.members[from].ID, body)
			return
		}
		// The connection is refused, which proves the node gone.
		h.quotas[from].ConfirmDead(h.members[to].ID, h.members[to].Incarnation)
	})
}

var errOut = errors.New("the table is out")

// fault returns an error while the table is out.
func (h *home) fault() error {
	if h.out {
		return errOut
	}
	return nil
}

func (h *home) read(q *quota.Quota, key string) {
	h.world.reads++
	h.world.after(tableMillis, func() {
		r, found := h.rows[key]
		q.ReadDone(key, r, found, h.fault())
	})
}

func (h *home) write(q *quota.Quota, token string, x write.Write) {
	h.world.writes++
	h.world.after(tableMillis, func() {
		err := h.fault()
		applied := err == nil && h.rows[x.Key].Version == x.IfVersion
		if applied {
			h.rows[x.Key] = record.Record{Key: x.Key, Value: x.Value, Version: x.IfVersion + 1}
		}
		q.WriteDone(x.Key, token, applied, err)
	})
}

func (h *home) arrive(node, team int, done func(bool)) {
	h.quotas[node].TakeOrWait(teams()[team].Name, func(granted bool, _ int64) { done(granted) })
}

func (h *home) tick(node int) { h.quotas[node].Tick() }

func (h *home) kill(int) {}

func (h *home) tableOut() { h.out = true }
