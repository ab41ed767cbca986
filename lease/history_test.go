package lease_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"bergamotloom.example/clock"
	"bergamotloom.example/lease"
	"bergamotloom.example/member"
	"bergamotloom.example/record"
)

const nodes = 5

// TestMain fixes the seed, so that each run judges the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.shrinktime": "5s", "rapid.checks": "300",
	} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

type node struct {
	incarnation    int64
	lease          *lease.Lease
	advance        func(float64)
	alive, stopped bool
	noTable        bool
	leaving        bool
	backlog        []func()
	reign          int64
}

// world runs the leases of one team on a few nodes. Its clocks run alike, so
// that times of all nodes can be compared.
type world struct {
	t         *rapid.T
	now       int64
	queue     map[int64][]func()
	random    *rand.Rand
	nodes     [nodes]*node
	cut       [nodes][nodes]bool
	loss      float64
	late      float64
	lost      float64
	out       bool
	row       record.Record
	outcomes  map[string]bool
	lastActed [nodes]int64
	terms     int
}

func newWorld(t *rapid.T, seed uint64) *world {
	w := &world{
		t: t, now: 1_000_000, queue: map[int64][]func(){}, random: rand.New(rand.NewPCG(seed, 1)),
		outcomes: map[string]bool{},
	}
	for i := range w.nodes {
		w.start(i)
	}
	w.gossip()
	return w
}

func name(i int) string { return fmt.Sprint("n", i) }

func (w *world) start(i int) {
	c, advance := clock.NewManual(w.now)
	n := &node{incarnation: w.now, advance: advance, alive: true}
	if old := w.nodes[i]; old != nil {
		old.alive = false
	}
	w.nodes[i] = n
	n.lease = lease.New(
		name(i), n.incarnation, "lapacho", c,
		func(to string, body []byte) { w.send(i, n, int(to[1]-'0'), body) },
		func() { w.read(n) },
		func(token string, value []byte, ifVersion int64) { w.write(n, token, value, ifVersion) },
	)
}

func (w *world) gossip() {
	roster := map[string]member.Member{}
	for i, n := range w.nodes {
		roster[name(i)] = member.Member{ID: name(i), Incarnation: n.incarnation, Centre: fmt.Sprint(i % 3), Leaving: n.leaving}
	}
	for _, n := range w.nodes {
		n.run(func() { n.lease.SetMembers(roster) })
	}
}

func (n *node) run(do func()) {
	switch {
	case n.stopped:
		n.backlog = append(n.backlog, do)
	case n.alive:
		do()
	}
}

func (w *world) after(millis int64, do func()) {
	w.queue[w.now+millis] = append(w.queue[w.now+millis], do)
}

func (w *world) send(i int, from *node, j int, body []byte) {
	delay := 1 + w.random.Int64N(2)
	if w.random.Float64() < w.late {
		delay += w.random.Int64N(4000)
		w.after(1+w.random.Int64N(4000), func() { w.deliver(i, from, j, body) })
	}
	if w.random.Float64() >= w.loss {
		w.after(delay, func() { w.deliver(i, from, j, body) })
	}
}

func (w *world) deliver(i int, from *node, j int, body []byte) {
	n := w.nodes[j]
	if w.cut[i][j] {
		return
	}
	if !n.alive {
		if !w.cut[j][i] {
			from.run(func() { from.lease.ConfirmDead(name(j), n.incarnation) })
		}
		return
	}
	n.run(func() { n.lease.Receive(name(i), body) })
}

func (w *world) answers(n *node) bool {
	return !w.out && !n.noTable && w.random.Float64() >= w.lost
}

func (w *world) read(n *node) {
	w.after(3+w.random.Int64N(50), func() {
		r, ok := w.row, w.answers(n)
		w.after(3, func() { n.run(func() { n.lease.ReadDone(r, r.Version > 0, !ok) }) })
	})
}

func (w *world) write(n *node, token string, value []byte, ifVersion int64) {
	w.after(3+w.random.Int64N(50), func() {
		applied, known := w.outcomes[token]
		if !w.out && !n.noTable && !known {
			applied = w.row.Version == ifVersion
			w.outcomes[token] = applied
			if applied {
				w.row = record.Record{Value: value, Version: ifVersion + 1}
				w.terms++
			}
		}
		ok := w.answers(n)
		w.after(3, func() { n.run(func() { n.lease.WriteDone(token, applied, !ok) }) })
	})
}

func (w *world) run(millis int64) {
	for end := w.now + millis; w.now < end; {
		w.now++
		for _, n := range w.nodes {
			n.advance(1)
		}
		for _, do := range w.queue[w.now] {
			do()
		}
		delete(w.queue, w.now)
		if w.now%5 == 0 {
			for _, n := range w.nodes {
				if n.alive && !n.stopped {
					n.lease.Tick()
				}
			}
		}
		w.check()
	}
}

// check fails if two nodes act at one moment, or if a reign calls a time quiet
// at which another node still acted.
func (w *world) check() {
	acting := -1
	for i, n := range w.nodes {
		if !n.alive || n.stopped || !n.lease.Acting() {
			continue
		}
		if acting >= 0 {
			w.t.Fatalf("%d: nodes %d and %d both act", w.now, acting, i)
		}
		acting = i
		w.checkQuiet(i, n)
	}
	if acting >= 0 {
		w.lastActed[acting] = w.now
	}
}

func (w *world) checkQuiet(i int, n *node) {
	reign, quiet, first := n.lease.Epoch()
	if reign == n.reign {
		return
	}
	n.reign = reign
	for j, at := range w.lastActed {
		if j != i && (at > quiet || first && at > 0) {
			w.t.Fatalf("%d: node %d calls %d quiet, but node %d acted at %d", w.now, i, quiet, j, at)
		}
	}
}

// fault lets one thing happen to node i, or to nodes i and j.
func (w *world) fault(kind string, i, j int) {
	switch kind {
	case "kill":
		w.nodes[i].alive = false
	case "restart":
		w.start(i)
		w.gossip()
	case "leave":
		w.nodes[i].leaving = true
		w.gossip()
	case "stop":
		w.nodes[i].stopped = true
	case "resume":
		w.resume(i)
	case "cut":
		w.cut[i][j], w.cut[j][i] = true, true
	case "oneWay":
		w.cut[i][j] = true
	case "isolate":
		for k := range nodes {
			w.cut[i][k], w.cut[k][i] = k != i, k != i
		}
	case "heal":
		w.cut = [nodes][nodes]bool{}
	case "noTable":
		w.nodes[i].noTable = !w.nodes[i].noTable
	case "out":
		w.out = !w.out
	case "lossy":
		w.loss, w.late, w.lost = 0.1, 0.2, 0.5
	case "clean":
		w.loss, w.late, w.lost = 0, 0, 0
	}
}

func (w *world) resume(i int) {
	n := w.nodes[i]
	n.stopped = false
	// A woken process may act before it reads what came in meanwhile.
	w.check()
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		n.run(do)
	}
}

func TestAtMostOneNodeActsInAnyHistory(t *testing.T) {
	kinds := []string{
		"kill", "kill", "restart", "leave", "leave", "stop", "stop", "resume", "resume", "cut", "oneWay", "isolate",
		"heal", "noTable", "out", "lossy", "clean",
	}
	terms := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		w.run(1500)
		for range rapid.IntRange(4, 25).Draw(t, "length") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			w.fault(kind, rapid.IntRange(0, nodes-1).Draw(t, "i"), rapid.IntRange(0, nodes-1).Draw(t, "j"))
			w.run(rapid.Int64Range(1, 2500).Draw(t, "millis"))
		}
		w.run(3000)
		terms += w.terms
	})
	t.Log("terms", terms)
}
