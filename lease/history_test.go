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

const nodeCount = 5

// TestMain fixes the seed, so that each run checks the same histories.
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
	incarnation      int64
	lease            *lease.Lease
	advance          func(float64)
	alive, paused    bool
	tableUnreachable bool
	leaving          bool
	backlog          []func()
	epoch            int64
}

// fleet runs the leases of one team on a few nodes. All clocks run at the same
// speed, so that times of different nodes can be compared.
type fleet struct {
	t                    *rapid.T
	now                  int64
	queue                map[int64][]func()
	random               *rand.Rand
	nodes                [nodeCount]*node
	isPartitioned        [nodeCount][nodeCount]bool
	lossFraction         float64
	delayFraction        float64
	lostResponseFraction float64
	tableDown            bool
	row                  record.Record
	outcomes             map[string]bool
	lastActedAt          [nodeCount]int64
	termCount            int
}

func newFleet(t *rapid.T, seed uint64) *fleet {
	f := &fleet{
		t: t, now: 1_000_000, queue: map[int64][]func(){}, random: rand.New(rand.NewPCG(seed, 1)),
		outcomes: map[string]bool{},
	}
	for i := range f.nodes {
		f.start(i)
	}
	f.updateMembers()
	return f
}

// nodeID returns n and the index of the node, one digit.
func nodeID(i int) string { return fmt.Sprint("n", i) }

func (f *fleet) start(i int) {
	c, advance := clock.NewManual(f.now)
	n := &node{incarnation: f.now, advance: advance, alive: true}
	if old := f.nodes[i]; old != nil {
		old.alive = false
	}
	f.nodes[i] = n
	n.lease = lease.New(
		nodeID(i), n.incarnation, "lapacho", c,
		func(to string, body []byte) { f.send(i, n, int(to[1]-'0'), body) },
		func() { f.read(n) },
		func(token string, value []byte, ifVersion int64) { f.write(n, token, value, ifVersion) },
	)
}

func (f *fleet) updateMembers() {
	members := map[string]member.Member{}
	for i, n := range f.nodes {
		members[nodeID(i)] = member.Member{ID: nodeID(i), Incarnation: n.incarnation, Centre: fmt.Sprint(i % 3), Leaving: n.leaving}
	}
	for _, n := range f.nodes {
		n.run(func() { n.lease.SetFleet(members) })
	}
}

func (n *node) run(do func()) {
	switch {
	case n.paused:
		n.backlog = append(n.backlog, do)
	case n.alive:
		do()
	}
}

func (f *fleet) schedule(millis int64, do func()) {
	f.queue[f.now+millis] = append(f.queue[f.now+millis], do)
}

func (f *fleet) send(i int, from *node, j int, body []byte) {
	delay := 1 + f.random.Int64N(2)
	if f.random.Float64() < f.delayFraction {
		delay += f.random.Int64N(4000)
		f.schedule(1+f.random.Int64N(4000), func() { f.deliver(i, from, j, body) })
	}
	if f.random.Float64() >= f.lossFraction {
		f.schedule(delay, func() { f.deliver(i, from, j, body) })
	}
}

func (f *fleet) deliver(i int, from *node, j int, body []byte) {
	n := f.nodes[j]
	if f.isPartitioned[i][j] {
		return
	}
	if !n.alive {
		if !f.isPartitioned[j][i] {
			from.run(func() { from.lease.ConfirmDead(nodeID(j), n.incarnation) })
		}
		return
	}
	n.run(func() { n.lease.Receive(nodeID(i), body) })
}

func (f *fleet) tableResponds(n *node) bool {
	return !f.tableDown && !n.tableUnreachable && f.random.Float64() >= f.lostResponseFraction
}

func (f *fleet) read(n *node) {
	f.schedule(3+f.random.Int64N(50), func() {
		r, ok := f.row, f.tableResponds(n)
		f.schedule(3, func() { n.run(func() { n.lease.ReadDone(r, r.Version > 0, !ok) }) })
	})
}

func (f *fleet) write(n *node, token string, value []byte, ifVersion int64) {
	f.schedule(3+f.random.Int64N(50), func() {
		applied, decided := f.outcomes[token]
		if !f.tableDown && !n.tableUnreachable && !decided {
			applied = f.row.Version == ifVersion
			f.outcomes[token] = applied
			if applied {
				f.row = record.Record{Value: value, Version: ifVersion + 1}
				f.termCount++
			}
		}
		ok := f.tableResponds(n)
		f.schedule(3, func() { n.run(func() { n.lease.WriteDone(token, applied, !ok) }) })
	})
}

func (f *fleet) run(millis int64) {
	for end := f.now + millis; f.now < end; {
		f.now++
		for _, n := range f.nodes {
			n.advance(1)
		}
		for _, do := range f.queue[f.now] {
			do()
		}
		delete(f.queue, f.now)
		if f.now%5 == 0 {
			for _, n := range f.nodes {
				if n.alive && !n.paused {
					n.lease.Tick()
				}
			}
		}
		f.check()
	}
}

// check fails if two nodes act at the same time, or if another node still acted
// after the takeover time of an epoch.
func (f *fleet) check() {
	acting := -1
	for i, n := range f.nodes {
		if !n.alive || n.paused || !n.lease.Acting() {
			continue
		}
		if acting >= 0 {
			f.t.Fatalf("at %d ms: nodes %d and %d both act", f.now, acting, i)
		}
		acting = i
		f.checkTakeover(i, n)
	}
	if acting >= 0 {
		f.lastActedAt[acting] = f.now
	}
}

func (f *fleet) checkTakeover(i int, n *node) {
	epoch, takeoverMillis, isFirstOwner := n.lease.Epoch()
	if epoch == n.epoch {
		return
	}
	n.epoch = epoch
	for j, at := range f.lastActedAt {
		if j != i && (at > takeoverMillis || isFirstOwner && at > 0) {
			f.t.Fatalf("at %d ms: node %d took over at %d ms, but node %d acted at %d ms", f.now, i, takeoverMillis, j, at)
		}
	}
}

// fault injects one fault at node i, or between nodes i and j.
func (f *fleet) fault(kind string, i, j int) {
	switch kind {
	case "kill":
		f.nodes[i].alive = false
	case "restart":
		f.start(i)
		f.updateMembers()
	case "leave":
		f.nodes[i].leaving = true
		f.updateMembers()
	case "pause":
		f.nodes[i].paused = true
	case "resume":
		f.resume(i)
	case "partition":
		f.isPartitioned[i][j], f.isPartitioned[j][i] = true, true
	case "partitionOneWay":
		f.isPartitioned[i][j] = true
	case "isolate":
		for k := range nodeCount {
			f.isPartitioned[i][k], f.isPartitioned[k][i] = k != i, k != i
		}
	case "heal":
		f.isPartitioned = [nodeCount][nodeCount]bool{}
	case "tableUnreachable":
		f.nodes[i].tableUnreachable = !f.nodes[i].tableUnreachable
	case "tableDown":
		f.tableDown = !f.tableDown
	case "unreliable":
		f.lossFraction, f.delayFraction, f.lostResponseFraction = 0.1, 0.2, 0.5
	case "reliable":
		f.lossFraction, f.delayFraction, f.lostResponseFraction = 0, 0, 0
	}
}

func (f *fleet) resume(i int) {
	n := f.nodes[i]
	n.paused = false
	// A resumed process may act before it reads the messages that came meanwhile.
	f.check()
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		n.run(do)
	}
}

func TestAtMostOneNodeActsInAnyHistory(t *testing.T) {
	kinds := []string{
		"kill", "kill", "restart", "leave", "leave", "pause", "pause", "resume", "resume", "partition", "partitionOneWay", "isolate",
		"heal", "tableUnreachable", "tableDown", "unreliable", "reliable",
	}
	termCount := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(t, "seed"))
		f.run(1500)
		for range rapid.IntRange(4, 25).Draw(t, "length") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			f.fault(kind, rapid.IntRange(0, nodeCount-1).Draw(t, "i"), rapid.IntRange(0, nodeCount-1).Draw(t, "j"))
			f.run(rapid.Int64Range(1, 2500).Draw(t, "millis"))
		}
		f.run(3000)
		termCount += f.termCount
	})
	t.Log("terms", termCount)
}
