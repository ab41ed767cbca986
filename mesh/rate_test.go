package mesh

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/ration"
	"bergamotloom.example/team"
)

const (
	rateTeam = "a"
	// stepMillis is the step of the virtual clock; in each, a tenth of the nodes send.
	stepMillis = 10
	nodeRounds = busyIntervalMillis / stepMillis
	// windowMillis is the length of the window in which a team's requests are counted.
	windowMillis = 5000
)

// ratedNode is a node's mesh with the rate limiter that its cards feed.
type ratedNode struct {
	mesh   *Mesh
	ration *ration.Ration
}

// ratedFleet delivers messages without delay, on a virtual clock.
type ratedFleet struct {
	clock    clock.Clock
	advance  func(millis float64)
	random   *rand.Rand
	nodes    []*ratedNode
	byPort   map[netip.AddrPort]*ratedNode
	admitted []float64
	refused  int
}

func newRatedFleet(t *testing.T, nodes, centres int, limited team.Team) *ratedFleet {
	t.Helper()
	f := &ratedFleet{random: rand.New(rand.NewPCG(1, 7)), byPort: make(map[netip.AddrPort]*ratedNode)}
	f.clock, f.advance = clock.NewManual(0)
	for i := range nodes {
		n := &ratedNode{ration: ration.New(f.clock, true, uint64(i))}
		n.ration.SetTeams([]team.Team{limited})
		describe := func(toRemote bool) card.Card { return n.ration.Describe(card.Card{}, toRemote) }
		m, err := New(card.Card{Peers: "127.0.0.1:0", Incarnation: 1}, f.clock, uint64(i), slog.New(slog.DiscardHandler), describe, nil, nil, nil, func(string) {})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = m.socket.Close() })
		at, err := netip.ParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 1000+i))
		assert.NilError(t, err)
		m.self.Peers, m.self.Centre = at.String(), fmt.Sprint(i%centres)
		n.mesh, f.byPort[at] = m, n
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			n.mesh.accept(card.Card{Peers: other.mesh.self.Peers, Centre: other.mesh.self.Centre, Incarnation: 1})
		}
	}
	return f
}

// run sends requests of the team to random nodes, and lets the nodes exchange cards.
func (f *ratedFleet) run(millis int, perSecond float64) {
	due := 0.0
	for at := 0; at < millis; at += stepMillis {
		f.advance(stepMillis)
		for due += perSecond * stepMillis / 1000 * f.random.ExpFloat64(); due >= 1; due-- {
			if _, ok := f.nodes[f.random.IntN(len(f.nodes))].ration.Admit(rateTeam); ok {
				f.admitted = append(f.admitted, f.clock.Fine())
			} else {
				f.refused++
			}
		}
		for i := int(f.clock.Now()/stepMillis) % nodeRounds; i < len(f.nodes); i += nodeRounds {
			n := f.nodes[i]
			n.ration.Tick(busyIntervalMillis)
			for _, g := range n.mesh.round(n.ration.Describe(card.Card{}, false), true) {
				for _, r := range g.to {
					f.deliver(g.cards, f.byPort[r.address])
				}
			}
		}
	}
}

func (f *ratedFleet) deliver(cards []card.Card, to *ratedNode) {
	for _, c := range cards {
		if to.mesh.accept(c) {
			to.ration.Learn(c)
		}
	}
}

// maxAdmitted returns the largest number admitted within any window.
func (f *ratedFleet) maxAdmitted() int {
	largest, first := 0, 0
	for last := range f.admitted {
		for f.admitted[last]-f.admitted[first] > windowMillis {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// A team whose requests arrive at all nodes, a few at each, isn't refused within its
// rate, and gets no more than 10% and 20 requests beyond it when it sends several times
// as much from one moment to the next.
func TestRateIsKeptOverAllDataCentres(t *testing.T) {
	for _, c := range []struct {
		nodes, centres int
		rate           float64
	}{{16, 3, 113}, {33, 5, 20}, {83, 4, 113}, {194, 5, 113}, {194, 5, 20}} {
		f := newRatedFleet(t, c.nodes, c.centres, team.Team{Name: rateTeam, Rate: c.rate, Burst: c.rate})
		f.run(6000, c.rate/1.6)
		f.run(4000, 0.9*c.rate)
		assert.Check(t, f.refused <= len(f.admitted)/100, "%+v: %d of %d refused within the rate", c, f.refused, len(f.admitted))
		f.run(8000, 3.2*c.rate)
		bound := (c.rate*windowMillis/1000+c.rate)*1.1 + 20
		assert.Check(t, float64(f.maxAdmitted()) <= bound, "%+v: %d admitted, bound is %.0f", c, f.maxAdmitted(), bound)
		t.Logf("%+v: %d in a window, bound is %.0f", c, f.maxAdmitted(), bound)
	}
}

// Cards that tell much are left out, so that a message can be sent.
func TestMessagesStayWithinTheirBound(t *testing.T) {
	const teams = 300
	long := card.Card{Peers: "10.0.0.1:7000", Admitted: make(map[uint32]int64), DemandRates: make(map[uint32]float32)}
	for i := range uint32(teams) {
		long.Admitted[i*40_000_003] = int64(i) * 1000
		long.DemandRates[i*40_000_003] = 0.7
	}
	var cards []card.Card
	for i := range 50 {
		cards = append(cards, long)
		cards[i].Sequence = int64(i)
	}
	encoded, err := encode(cards)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= maxMessageBytes, "%d bytes", len(encoded))
	decoded, err := card.Decode(encoded)
	assert.NilError(t, err)
	assert.Assert(t, len(decoded) > 1 && len(decoded) < len(cards), "%d cards", len(decoded))
	assert.DeepEqual(t, decoded[0], cards[0])
	// The node's own card goes out in any case.
	for i := range uint32(10 * teams) {
		long.Admitted[i*40_000_003+1] = 1
	}
	encoded, err = encode([]card.Card{long, cards[0]})
	assert.NilError(t, err)
	decoded, err = card.Decode(encoded)
	assert.NilError(t, err)
	assert.Equal(t, len(decoded), 1)
}
