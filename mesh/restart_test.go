package mesh

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/duty"
	"bergamotloom.example/grade"
	"bergamotloom.example/muster"
	"bergamotloom.example/step"
)

// restart is a fleet whose nodes have all lost power and start again, and the table of
// nodes that they read.
type restart struct {
	*largeFleet
	musters []*muster.Muster
	// retryAt is when a node to which the store didn't respond tries again.
	retryAt []int64
	// isAway reports whether the store doesn't respond to the node.
	isAway func(i int, now int64) bool
	calls  int
}

const (
	musterMillis = 100
	retryMillis  = 1000
	// powerMillis is the time in which the machines get power again.
	powerMillis = 500
)

func newRestart(t *testing.T, nodes int, centreOf func(i int) int, isAway func(i int, now int64) bool) *restart {
	t.Helper()
	r := &restart{largeFleet: newUnmetFleet(t, nodes, centreOf), retryAt: make([]int64, nodes), isAway: isAway}
	for i := range nodes {
		r.musters = append(r.musters, muster.New(false, int64(i*powerMillis/nodes), uint64(i)))
	}
	return r
}

// step lets one node do what is due.
func (r *restart) step(i int) {
	now := r.clock.Now()
	m, node := r.musters[i], r.nodes[i]
	if now < int64(i*powerMillis/len(r.nodes)) || now < r.retryAt[i] {
		return
	}
	known, heard := node.PeerCounts()
	next := m.Next(now, known, heard, duty.Of(node.self.Peers, r.isAway(i, now), node.Cards()).Watches)
	if next == step.Wait {
		return
	}
	r.calls++
	if r.isAway(i, now) {
		r.retryAt[i] = now + retryMillis/2 + r.random.Int64N(retryMillis)
		return
	}
	rows := muster.NearRows
	switch next {
	case step.Write:
		m.RowWritten(now)
		return
	case step.ReadAll:
		rows = len(r.nodes) - 1
	}
	for k := 1; k <= rows; k++ {
		node.Add(r.nodes[(i+k)%len(r.nodes)].self.Peers)
	}
	m.RowFound(now)
	m.NodesRead(now, rows, next == step.ReadAll)
}

// run lets all nodes do their work, and returns when each heard nearly all others.
func (r *restart) run(millis int64) (heardMillis int64) {
	for now := r.clock.Now(); now < millis; now = r.clock.Now() {
		r.advance(musterMillis)
		for i := range r.nodes {
			r.step(i)
		}
		if now%idleIntervalMillis == 0 {
			r.sendAll(false, func(int) card.Card { return card.Card{Target: "a", Cutoff: grade.Count} })
		}
		if heardMillis == 0 && r.allHear() {
			heardMillis = r.clock.Now()
		}
	}
	return heardMillis
}

func (r *restart) allHear() bool {
	for _, m := range r.nodes {
		if _, heard := m.PeerCounts(); heard < (len(r.nodes)-1)*97/100 {
			return false
		}
	}
	return true
}

// All nodes lose power and start again within half a second. Each hears nearly all
// others well within the 15 s in which the fleet has to recover, also if the store turns
// a third of them away, or is reset at that moment. No more than a few calls of each node
// reach the store.
func TestFleetMeetsAgainAfterALossOfPower(t *testing.T) {
	const nodes, centres, recoveryMillis, maxCalls = 200, 5, 15_000, 2.5
	for _, c := range []struct {
		name   string
		isAway func(i int, now int64) bool
	}{
		{"the store is there", func(int, int64) bool { return false }},
		{"the store turns a third away for 10 s", func(i int, now int64) bool { return i%3 == 0 && now < 10_000 }},
		{"the store is reset for 2 s", func(_ int, now int64) bool { return now < 2000 }},
		{"a data centre can't reach the store", func(i int, now int64) bool { return i < nodes/centres }},
	} {
		r := newRestart(t, nodes, func(i int) int { return i * centres / nodes }, c.isAway)
		heardMillis := r.run(recoveryMillis)
		assert.Check(t, heardMillis > 0 && heardMillis <= recoveryMillis/2, "%s: nearly all are heard after %d ms", c.name, heardMillis)
		callsPerNode := float64(r.calls) / nodes
		t.Logf("%s: heard after %d ms, %.2f calls a node", c.name, heardMillis, callsPerNode)
		assert.Check(t, c.name != "the store is there" || callsPerNode <= maxCalls, "%s: %.2f calls a node", c.name, callsPerNode)
	}
}
