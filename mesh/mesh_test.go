package mesh_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/mesh"
)

// member is one node of a test's mesh.
type member struct {
	mesh  *mesh.Mesh
	stop  context.CancelFunc
	mutex sync.Mutex
	cards map[string]card.Card
}

func start(t *testing.T, address string, incarnation int64) *member {
	t.Helper()
	m := &member{cards: make(map[string]card.Card)}
	self := card.Card{Peers: address, Incarnation: incarnation, Centre: "a", Hops: address}
	var err error
	m.mesh, err = mesh.New(self, clock.New(), 1, slog.New(slog.DiscardHandler),
		func() card.Card { return card.Card{Service: "stock"} },
		func() bool { return true },
		func(c card.Card) {
			m.mutex.Lock()
			defer m.mutex.Unlock()
			m.cards[c.Peers] = c
		},
		func(string) {})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	m.stop = stop
	go m.mesh.Run(ctx)
	return m
}

func (m *member) card(of string) card.Card {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.cards[of]
}

// addresses returns UDP addresses that were free a moment ago.
func addresses(t *testing.T, n int) []string {
	t.Helper()
	var all []string
	for range n {
		c, err := new(net.ListenConfig).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
		assert.NilError(t, err)
		all = append(all, c.LocalAddr().String())
		defer func() { _ = c.Close() }()
	}
	return all
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestWhoeverIsToldOfOneNodeHearsAllCards(t *testing.T) {
	const nodes = 30
	all := addresses(t, nodes)
	var members []*member
	for _, a := range all {
		m := start(t, a, 1)
		m.mesh.Add(all[0])
		members = append(members, m)
	}
	// More than get each card, so that cards are relayed.
	for i, m := range members {
		eventually(t, fmt.Sprintf("node %d doesn't hear all", i), func() bool {
			for _, a := range all {
				if a != all[i] && m.card(a).Peers == "" {
					return false
				}
			}
			return true
		})
	}
}

func TestNodeThatStartsAgainWithAnEarlierClockIsHeard(t *testing.T) {
	all := addresses(t, 2)
	watcher := start(t, all[0], 1)
	first := start(t, all[1], 1000)
	first.mesh.Add(all[0])
	eventually(t, "the node isn't heard", func() bool { return watcher.card(all[1]).Incarnation == 1000 })
	first.stop()
	time.Sleep(200 * time.Millisecond)
	// The wall clock was put back meanwhile.
	second := start(t, all[1], 500)
	defer second.stop()
	eventually(t, "the new start isn't heard", func() bool { return watcher.card(all[1]).Incarnation > 1000 })
}

func TestSilentPeersAreToldApart(t *testing.T) {
	all := addresses(t, 2)
	watcher := start(t, all[0], 1)
	other := start(t, all[1], 1)
	other.mesh.Add(all[0])
	eventually(t, "the peer isn't heard", func() bool { _, heard := watcher.mesh.PeerCounts(); return heard == 1 })
	other.stop()
	eventually(t, "the peer isn't silent", func() bool { known, heard := watcher.mesh.PeerCounts(); return known == 1 && heard == 0 })
}
