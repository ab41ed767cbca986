package gossip_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/gossip"
	"bergamotloom.example/member"
)

const (
	spreadMillis = 5000
	deathMillis  = 3000
	forGood      = 1 << 40
)

func TestChangeAndDeathDespiteLoss(t *testing.T) {
	t.Parallel()
	for _, n := range []int{16, 128, 1024} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newNet(n, 0.1)
			w.Run(1000, nil)
			for v := int64(1); v <= 3; v++ {
				w.nodes[v].Publish("version", v, []byte("small"))
				w.nodes[v].Publish("file", v, make([]byte, 2000))
				took := w.since(t, spreadMillis, func(g *gossip.Gossip) bool {
					return hasFact("version", v)(g) && hasFact("file", v)(g)
				})
				t.Logf("change %d at all %d nodes: %d ms", v, n, took)
			}
			w.Stop(id(5), forGood)
			took := w.since(t, deathMillis, func(g *gossip.Gossip) bool {
				m, _ := g.Member(id(5))
				return !m.TakesWork()
			})
			t.Logf("death at all %d nodes: %d ms", n, took)
		})
	}
}

func TestPausesAndLossKillNobody(t *testing.T) {
	t.Parallel()
	w := newNet(64, 0.1)
	raised := map[member.Member]bool{}
	for _, g := range w.nodes {
		g.OnMember = func(m member.Member) {
			assert.Assert(t, !m.Dead)
			if m.Suspect {
				raised[m] = true
			}
		}
	}
	w.Run(2000, nil)
	pauses := 20
	for i := range pauses {
		w.Stop(id(i*3), 1000)
		w.Run(1500, nil)
	}
	t.Logf("%d suspicions at %d nodes in 30 s", len(raised), len(w.nodes))
	assert.Assert(t, len(raised) <= pauses)
	w.since(t, spreadMillis, isWhole(len(w.nodes)))
}

func TestCutDataCentreGoesOnAndMerges(t *testing.T) {
	t.Parallel()
	for _, n := range []int{16, 128} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newNet(n, 0.1)
			w.Run(2000, nil)
			w.nodes[0].Publish("version", 1, nil)
			w.since(t, spreadMillis, hasFact("version", 1))
			w.cut(n)
			w.Run(60_000, nil)
			// The cut centre held its version; the others' is the newer one.
			w.nodes[1].Publish("version", 3, nil)
			w.nodes[0].Publish("version", 2, nil)
			w.Run(spreadMillis, nil)
			for i, g := range w.nodes {
				want := int64(3)
				if i%centreCount == 0 {
					want = 2
				}
				assert.Assert(t, hasFact("version", want)(g), "node %d", i)
			}
			w.heal()
			took := w.since(t, spreadMillis, hasFact("version", 3))
			t.Logf("change at all %d nodes %d ms after the cut healed", n, took)
			took = w.since(t, 2*spreadMillis, isWhole(n))
			t.Logf("all %d nodes alive to all %d ms later", n, took)
		})
	}
}

func TestNewNodeJoinsThroughAnyPeer(t *testing.T) {
	t.Parallel()
	w := newNet(128, 0.1)
	w.nodes[3].Publish("version", 7, nil)
	w.Run(3000, nil)
	g := w.add(record(128))
	assert.Assert(t, !g.Synced())
	g.Join(id(77))
	w.Run(2*spreadMillis, g.Synced)
	assert.Assert(t, isWhole(129)(g))
	assert.Assert(t, hasFact("version", 7)(g))
	w.since(t, spreadMillis, isWhole(129))
}

func TestWokenNodeServesNothingBeforeItCaughtUp(t *testing.T) {
	t.Parallel()
	w := newNet(32, 0.1)
	w.nodes[3].Publish("version", 1, nil)
	w.Run(3000, nil)
	w.Stop(id(9), 20_000)
	w.Run(2000, nil)
	w.nodes[3].Publish("version", 2, nil)
	for range 40_000 {
		w.Run(1, nil)
		if w.nodes[9].Synced() {
			assert.Assert(t, hasFact("version", 2)(w.nodes[9]))
		}
	}
	assert.Assert(t, w.all(isWhole(32)))
}

func TestProvedDeathEndsOnlyItsIncarnation(t *testing.T) {
	t.Parallel()
	w := newNet(16, 0.1)
	w.Run(2000, nil)
	w.nodes[3].ConfirmDead(id(9), startMillis)
	w.Run(spreadMillis, w.nodes[9].ConfirmedDead)
	assert.Assert(t, w.nodes[9].ConfirmedDead())
	assert.Assert(t, !w.nodes[9].Restart(startMillis))
	assert.Assert(t, w.nodes[9].Restart(startMillis+1))
	w.nodes[4].ConfirmDead(id(9), startMillis) // late news of the old incarnation
	w.since(t, spreadMillis, isWhole(16))
}

func TestDeadAreForgottenEverywhereAndStayAway(t *testing.T) {
	t.Parallel()
	w := newNet(6, 0)
	w.Run(2000, nil)
	w.Stop(id(5), forGood)
	w.nodes[0].ConfirmDead(id(5), startMillis)
	w.nodes[1].PublishFor("mark", 1, []byte("bad request"), 10_000)
	w.since(t, spreadMillis, hasFact("mark", 1))
	w.since(t, 3*spreadMillis, hasFact("mark", 0))
	isForgotten := func(g *gossip.Gossip) bool {
		_, known := g.Member(id(5))
		return !known
	}
	w.Leap(2 * 60 * 60 * 1000)
	w.since(t, spreadMillis, isForgotten)
	w.Run(60_000, nil)
	assert.Assert(t, w.all(isForgotten))
}

// TestNothingOldComesBack runs random histories and checks at every change
// that a node takes that it's newer than what the node had.
func TestNothingOldComesBack(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newNet(6, 0.2)
		for i, g := range w.nodes {
			observe(t, i, g)
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			act(t, w)
			w.Run(int64(rapid.IntRange(0, 4000).Draw(t, "millis")), nil)
		}
		w.heal()
		if !w.Run(4*spreadMillis, w.agrees) {
			t.Fatalf("the nodes still differ")
		}
	})
}

// act lets one thing happen to the net.
func act(t *rapid.T, w *net) {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	other := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")
	switch rapid.IntRange(0, 5).Draw(t, "act") {
	case 0:
		version := rapid.Int64Range(1, 9).Draw(t, "version")
		w.nodes[i].Publish("version", version, []byte{byte(version)})
	case 1:
		w.Stop(id(i), int64(rapid.IntRange(100, 5000).Draw(t, "pause")))
	case 2:
		w.IsCut = func(from, to string) bool { return (from == id(i)) != (to == id(i)) }
	case 3:
		w.nodes[other].ConfirmDead(id(i), w.nodes[i].Self().Incarnation)
	case 4:
		w.nodes[i].Restart(w.Clock().Now())
	case 5:
		w.nodes[i].Update(member.Member.WithLeaving)
	}
}

func observe(t *rapid.T, i int, g *gossip.Gossip) {
	records := map[string]member.Member{}
	versions := map[string]int64{}
	g.OnMember = func(m member.Member) {
		old, ok := records[m.ID]
		if ok && !m.Newer(old) {
			t.Fatalf("node %d took %+v after %+v", i, m, old)
		}
		records[m.ID] = m
	}
	g.OnFact = func(key string, version int64, _ []byte) {
		if version <= versions[key] {
			t.Fatalf("node %d took version %d after %d", i, version, versions[key])
		}
		versions[key] = version
	}
}
