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
	propagationMillis = 5000
	detectionMillis   = 3000
	foreverMillis     = 1 << 40
)

func TestChangesAndDeathsReachAllNodesDespiteLoss(t *testing.T) {
	t.Parallel()
	for _, n := range []int{16, 128, 1024} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newNet(n, 0.1)
			w.Run(1000, nil)
			for v := int64(1); v <= 3; v++ {
				w.nodes[v].Publish("version", v, []byte("small"))
				w.nodes[v].Publish("file", v, make([]byte, 2000))
				elapsedMillis := w.timeUntil(t, propagationMillis, func(g *gossip.Gossip) bool {
					return hasFact("version", v)(g) && hasFact("file", v)(g)
				})
				t.Logf("change %d reached all %d nodes after %d ms", v, n, elapsedMillis)
			}
			w.Pause(id(5), foreverMillis)
			elapsedMillis := w.timeUntil(t, detectionMillis, func(g *gossip.Gossip) bool {
				m, _ := g.Member(id(5))
				return !m.TakesWork()
			})
			t.Logf("death known to all %d nodes after %d ms", n, elapsedMillis)
		})
	}
}

func TestPausesAndLossConfirmNoNodeDead(t *testing.T) {
	t.Parallel()
	w := newNet(64, 0.1)
	suspicions := map[member.Member]bool{}
	for _, g := range w.nodes {
		g.OnMember = func(m member.Member) {
			assert.Assert(t, !m.Dead)
			if m.Suspect {
				suspicions[m] = true
			}
		}
	}
	w.Run(2000, nil)
	pauses := 20
	for i := range pauses {
		w.Pause(id(i*3), 1000)
		w.Run(1500, nil)
	}
	t.Logf("%d suspicions at %d nodes in 30 s", len(suspicions), len(w.nodes))
	assert.Assert(t, len(suspicions) <= pauses)
	w.timeUntil(t, propagationMillis, isComplete(len(w.nodes)))
}

func TestPartitionedDataCentreContinuesAndMerges(t *testing.T) {
	t.Parallel()
	for _, n := range []int{16, 128} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newNet(n, 0.1)
			w.Run(2000, nil)
			w.nodes[0].Publish("version", 1, nil)
			w.timeUntil(t, propagationMillis, hasFact("version", 1))
			w.partitionFirstCentre(n)
			w.Run(60_000, nil)
			// The partitioned data centre has its own version; the others have a newer
			// one.
			w.nodes[1].Publish("version", 3, nil)
			w.nodes[0].Publish("version", 2, nil)
			w.Run(propagationMillis, nil)
			for i, g := range w.nodes {
				want := int64(3)
				if i%centreCount == 0 {
					want = 2
				}
				assert.Assert(t, hasFact("version", want)(g), "node %d", i)
			}
			w.heal()
			elapsedMillis := w.timeUntil(t, propagationMillis, hasFact("version", 3))
			t.Logf("change reached all %d nodes %d ms after the partition ended", n, elapsedMillis)
			elapsedMillis = w.timeUntil(t, 2*propagationMillis, isComplete(n))
			t.Logf("all %d nodes seen alive by all %d ms later", n, elapsedMillis)
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
	w.Run(2*propagationMillis, g.Synced)
	assert.Assert(t, isComplete(129)(g))
	assert.Assert(t, hasFact("version", 7)(g))
	w.timeUntil(t, propagationMillis, isComplete(129))
}

func TestResumedNodeIsNotSyncedBeforeItCaughtUp(t *testing.T) {
	t.Parallel()
	w := newNet(32, 0.1)
	w.nodes[3].Publish("version", 1, nil)
	w.Run(3000, nil)
	w.Pause(id(9), 20_000)
	w.Run(2000, nil)
	w.nodes[3].Publish("version", 2, nil)
	for range 40_000 {
		w.Run(1, nil)
		if w.nodes[9].Synced() {
			assert.Assert(t, hasFact("version", 2)(w.nodes[9]))
		}
	}
	assert.Assert(t, w.allNodes(isComplete(32)))
}

func TestConfirmedDeathEndsOnlyItsIncarnation(t *testing.T) {
	t.Parallel()
	w := newNet(16, 0.1)
	w.Run(2000, nil)
	w.nodes[3].ConfirmDead(id(9), startMillis)
	w.Run(propagationMillis, w.nodes[9].IsSelfConfirmedDead)
	assert.Assert(t, w.nodes[9].IsSelfConfirmedDead())
	assert.Assert(t, !w.nodes[9].Restart(startMillis))
	assert.Assert(t, w.nodes[9].Restart(startMillis+1))
	w.nodes[4].ConfirmDead(id(9), startMillis) // delayed report on the old incarnation
	w.timeUntil(t, propagationMillis, isComplete(16))
}

func TestDeadMembersExpireEverywhereAndDontReturn(t *testing.T) {
	t.Parallel()
	w := newNet(6, 0)
	w.Run(2000, nil)
	w.Pause(id(5), foreverMillis)
	w.nodes[0].ConfirmDead(id(5), startMillis)
	w.nodes[1].PublishFor("mark", 1, []byte("bad request"), 10_000)
	w.timeUntil(t, propagationMillis, hasFact("mark", 1))
	w.timeUntil(t, 3*propagationMillis, hasFact("mark", 0))
	isForgotten := func(g *gossip.Gossip) bool {
		_, known := g.Member(id(5))
		return !known
	}
	w.SkipTime(2 * 60 * 60 * 1000)
	w.timeUntil(t, propagationMillis, isForgotten)
	w.Run(60_000, nil)
	assert.Assert(t, w.allNodes(isForgotten))
}

// TestOldVersionsNeverReplaceNewOnes runs random histories and checks that each
// change that a node applies is newer than what the node had.
func TestOldVersionsNeverReplaceNewOnes(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newNet(6, 0.2)
		for i, g := range w.nodes {
			failOnOlderVersions(t, i, g)
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			injectFault(t, w)
			w.Run(int64(rapid.IntRange(0, 4000).Draw(t, "millis")), nil)
		}
		w.heal()
		if !w.Run(4*propagationMillis, w.nodesAgree) {
			t.Fatalf("the states of the nodes still differ")
		}
	})
}

// injectFault causes one random event in the fleet.
func injectFault(t *rapid.T, w *net) {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
	other := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		version := rapid.Int64Range(1, 9).Draw(t, "version")
		w.nodes[i].Publish("version", version, []byte{byte(version)})
	case 1:
		w.Pause(id(i), int64(rapid.IntRange(100, 5000).Draw(t, "pause")))
	case 2:
		w.IsPartitioned = func(from, to string) bool { return (from == id(i)) != (to == id(i)) }
	case 3:
		w.nodes[other].ConfirmDead(id(i), w.nodes[i].Self().Incarnation)
	case 4:
		w.nodes[i].Restart(w.Clock().Now())
	case 5:
		w.nodes[i].Update(member.Member.WithLeaving)
	}
}

func failOnOlderVersions(t *rapid.T, i int, g *gossip.Gossip) {
	records := map[string]member.Member{}
	versions := map[string]int64{}
	g.OnMember = func(m member.Member) {
		old, ok := records[m.ID]
		if ok && !m.Newer(old) {
			t.Fatalf("node %d applied %+v after %+v", i, m, old)
		}
		records[m.ID] = m
	}
	g.OnFact = func(key string, version int64, _ []byte) {
		if version <= versions[key] {
			t.Fatalf("node %d applied version %d after %d", i, version, versions[key])
		}
		versions[key] = version
	}
}
