package gossip_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/gossip"
	"bergamotloom.example/member"
)

const (
	spreadMillis = 5000
	deathMillis  = 3000
	forGood      = 1 << 40
)

// TestChangeAndDeathDespiteLoss also covers the case that the node which
// dies held what just changed.
func TestChangeAndDeathDespiteLoss(t *testing.T) {
	for _, n := range []int{16, 128, 1024} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newNet(n, 0.1)
			w.run(1000, nil)
			for v := int64(1); v <= 3; v++ {
				w.nodes[v].Publish("version", v, []byte("small"))
				w.nodes[v].Publish("file", v, make([]byte, 2000))
				took := w.since(t, spreadMillis, func(g *gossip.Gossip) bool {
					return hasFact("version", v)(g) && hasFact("file", v)(g)
				})
				t.Logf("change %d at all %d nodes: %d ms", v, n, took)
			}
			w.stop(5, forGood)
			took := w.since(t, deathMillis, func(g *gossip.Gossip) bool {
				m, _ := g.Member(id(5))
				return !m.TakesWork()
			})
			t.Logf("death at all %d nodes: %d ms", n, took)
		})
	}
}

func TestPausesAndLossKillNobody(t *testing.T) {
	w := newNet(64, 0.1)
	suspected := 0
	for _, g := range w.nodes {
		g.OnMember = func(m member.Member) {
			assert.Assert(t, !m.Dead)
			if m.Suspect {
				suspected++
			}
		}
	}
	w.run(2000, nil)
	for i := range 20 {
		w.stop(i*3, 1000)
		w.run(1500, nil)
	}
	t.Logf("%d suspicions at %d nodes in 30 s", suspected, len(w.nodes))
	w.since(t, spreadMillis, func(g *gossip.Gossip) bool {
		for _, m := range g.Members() {
			if m.Suspect {
				return false
			}
		}
		return g.Settled()
	})
}
