package mesh_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/mesh"
	"bergamotloom.example/ports"
)

// member is a node of the mesh under test, with the cards that it received.
type member struct {
	mesh  *mesh.Mesh
	stop  context.CancelFunc
	mutex sync.Mutex
	cards map[string]card.Card
	// own is the last card of another incarnation of this member, left the last
	// target that left beside it.
	own  card.Card
	left string
}

func startMember(t *testing.T, address string, incarnation int64) *member {
	t.Helper()
	return startMemberWithLeft(t, address, incarnation, "")
}

// startMemberWithLeft starts a member whose last target that left is this one.
func startMemberWithLeft(t *testing.T, address string, incarnation int64, left string) *member {
	t.Helper()
	m := &member{cards: make(map[string]card.Card), left: left}
	self := card.Card{Peers: address, Incarnation: incarnation, Centre: "a", Hops: address}
	var err error
	m.mesh, err = mesh.New(self, clock.New(), 1, slog.New(slog.DiscardHandler),
		func(bool) card.Card { return card.Card{Service: "stock", LeftTarget: m.left} },
		func() bool { return true },
		func(c card.Card) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.cards[c.Peers] = c
		},
		func(c card.Card) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.own = c
		},
		func(string) {})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	m.stop = stop
	go m.mesh.Run(ctx)
	return m
}

func (m *member) ownCard() card.Card {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.own
}

func (m *member) card(peer string) card.Card {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.cards[peer]
}

// testPorts returns the ports of this test process.
var testPorts = sync.OnceValues(ports.New)

// freeAddresses returns addresses with ports that no other test process uses.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	p, err := testPorts()
	assert.NilError(t, err)
	var all []string
	for range n {
		address, err := p.Next()
		assert.NilError(t, err)
		all = append(all, address)
	}
	return all
}

// eventually fails the test if the condition isn't met within ten seconds.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

func TestNodesThatKnowOneNodeReceiveAllCards(t *testing.T) {
	const nodes = 30
	all := freeAddresses(t, nodes)
	var members []*member
	for _, a := range all {
		m := startMember(t, a, 1)
		m.mesh.Add(all[0])
		members = append(members, m)
	}
	// There are more nodes than each card is sent to, so that cards are relayed.
	for i, m := range members {
		eventually(t, fmt.Sprintf("node %d hasn't received all cards", i), func() bool {
			for _, a := range all {
				if a != all[i] && m.card(a).Peers == "" {
					return false
				}
			}
			return true
		})
	}
}

func TestCardsAreAcceptedAfterARestartWithAnEarlierClock(t *testing.T) {
	all := freeAddresses(t, 2)
	watcher := startMember(t, all[0], 1)
	first := startMember(t, all[1], 1000)
	first.mesh.Add(all[0])
	eventually(t, "no card of the first incarnation was received", func() bool { return watcher.card(all[1]).Incarnation == 1000 })
	first.stop()
	time.Sleep(200 * time.Millisecond)
	// The wall clock was set back before the restart.
	second := startMember(t, all[1], 500)
	defer second.stop()
	eventually(t, "no card was received after the restart", func() bool { return watcher.card(all[1]).Incarnation > 1000 })
}

func TestStoppedPeerCountsAsSilent(t *testing.T) {
	all := freeAddresses(t, 2)
	watcher := startMember(t, all[0], 1)
	other := startMember(t, all[1], 1)
	other.mesh.Add(all[0])
	eventually(t, "no card of the peer was received", func() bool { _, live := watcher.mesh.PeerCounts(); return live == 1 })
	other.stop()
	eventually(t, "the stopped peer doesn't count as silent", func() bool { known, live := watcher.mesh.PeerCounts(); return known == 1 && live == 0 })
}

// A node that restarts learns from its peers what it said before, also if its wall
// clock was set back.
func TestRestartedNodeForgetsWhatItSaid(t *testing.T) {
	for _, incarnation := range []int64{2000, 500} {
		all := freeAddresses(t, 2)
		peer := startMember(t, all[0], 1)
		first := startMemberWithLeft(t, all[1], 1000, "target")
		first.mesh.Add(all[0])
		eventually(t, "no card of the first incarnation was received", func() bool { return peer.card(all[1]).LeftTarget == "target" })
		first.stop()
		time.Sleep(200 * time.Millisecond)
		second := startMember(t, all[1], incarnation)
		defer second.stop()
		eventually(t, "no card of the first incarnation came back", func() bool { return second.ownCard().LeftTarget == "target" })
	}
}
