package gossip_test

import (
	"fmt"
	"slices"
	"testing"

	"bergamotloom.example/gossip"
	"bergamotloom.example/member"
	"bergamotloom.example/vnet"
)

const (
	startMillis = 1_000_000
	centreCount = 4
)

// net is a fleet of nodes on a virtual network.
type net struct {
	*vnet.Net
	nodes []*gossip.Gossip
}

func id(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250) }

func centre(i int) string { return fmt.Sprint("c", i%centreCount) }

func record(i int) member.Member {
	m := member.Member{
		ID:          id(i),
		Incarnation: startMillis,
		Serial:      1,
		Centre:      centre(i),
		Region:      "r",
		Callers:     fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250),
	}
	return m.WithTarget(fmt.Sprint("s", i%8), 20)
}

// newNet returns n nodes that already have each other's records.
func newNet(n int, lossFraction float64) *net {
	w := &net{Net: vnet.New(startMillis, 1)}
	w.Loss = lossFraction
	records := make([]member.Member, n)
	for i := range n {
		records[i] = record(i)
		w.add(records[i])
	}
	for _, g := range w.nodes {
		for _, m := range records {
			g.Learn(m)
		}
	}
	return w
}

func (w *net) add(m member.Member) *gossip.Gossip {
	g := gossip.New(m, w.Clock(), uint64(len(w.nodes)), w.Sender(m.ID))
	w.nodes = append(w.nodes, g)
	w.Add(m.ID, g)
	return g
}

// partitionFirstCentre cuts the first data centre off from the others.
func (w *net) partitionFirstCentre(nodeCount int) {
	inFirst := make(map[string]bool)
	for i := 0; i < nodeCount; i += centreCount {
		inFirst[id(i)] = true
	}
	w.IsPartitioned = func(from, to string) bool { return inFirst[from] != inFirst[to] }
}

func (w *net) heal() { w.IsPartitioned = func(string, string) bool { return false } }

// allNodes reports whether every running node meets the condition.
func (w *net) allNodes(condition func(g *gossip.Gossip) bool) bool {
	for i, g := range w.nodes {
		if !w.IsPaused(id(i)) && !condition(g) {
			return false
		}
	}
	return true
}

// timeUntil returns the milliseconds until every node meets the condition.
func (w *net) timeUntil(t *testing.T, limitMillis int64, condition func(g *gossip.Gossip) bool) int64 {
	t.Helper()
	begin := w.Clock().Now()
	if !w.Run(limitMillis, func() bool { return w.allNodes(condition) }) {
		t.Fatalf("the condition wasn't met within %d ms", limitMillis)
	}
	return w.Clock().Since(begin)
}

func hasFact(key string, version int64) func(*gossip.Gossip) bool {
	return func(g *gossip.Gossip) bool {
		v, _, _ := g.Fact(key)
		return v == version
	}
}

// isComplete reports whether a node is synced and has exactly n members that take
// work.
func isComplete(n int) func(*gossip.Gossip) bool {
	return func(g *gossip.Gossip) bool {
		count := 0
		for _, m := range g.Members() {
			if m.TakesWork() {
				count++
			}
		}
		return g.Synced() && count == n
	}
}

// nodesAgree reports whether all nodes have the same state.
func (w *net) nodesAgree() bool {
	first := w.nodes[0]
	version, _, _ := first.Fact("version")
	return w.allNodes(func(g *gossip.Gossip) bool {
		return hasFact("version", version)(g) &&
			slices.Equal(g.Members(), first.Members())
	})
}
