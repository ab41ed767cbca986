package crash_test

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
)

// fleet is a few nodes that receive each other's facts at once.
type fleet struct {
	nodes   []*crash.Suspects
	advance func(float64)
}

func newFleet(size int) *fleet {
	c, advance := clock.NewManual(1000)
	f := &fleet{advance: advance}
	for i := range size {
		f.nodes = append(f.nodes, crash.New(c, string(rune('a'+i)), slog.New(slog.DiscardHandler), func(key string, _ int64, value []byte, _ int64) {
			for j, n := range f.nodes {
				if j != i {
					n.OnFact(key, value)
				}
			}
		}))
	}
	return f
}

func (f *fleet) refusingNodes(fingerprint string) int {
	count := 0
	for _, n := range f.nodes {
		if _, refused := n.Refuses(fingerprint); refused {
			count++
		}
	}
	return count
}

func TestAllNodesRefuseARequestForAWhileAfterItsSecondCrash(t *testing.T) {
	f := newFleet(3)
	f.nodes[0].ReportCrash([]string{"bad", "bystander"})
	assert.Equal(t, f.refusingNodes("bad"), 0)
	f.nodes[1].ReportCrash([]string{"bad", "other"})
	assert.Equal(t, f.refusingNodes("bad"), 3)
	assert.Equal(t, f.refusingNodes("bystander")+f.refusingNodes("other"), 0)
	f.advance(crash.BlockMillis)
	assert.Equal(t, f.refusingNodes("bad"), 0)
}

func TestARequestWithAResponseIsHarmless(t *testing.T) {
	f := newFleet(3)
	f.nodes[0].ReportCrash([]string{"bad", "popular"})
	f.nodes[1].ResponseReceived("popular")
	f.nodes[2].ReportCrash([]string{"bad", "popular"})
	assert.Equal(t, f.refusingNodes("popular"), 0)
	assert.Equal(t, f.refusingNodes("bad"), 3)
}

func TestACrashReportedTwiceCountsOnce(t *testing.T) {
	c, _ := clock.NewManual(1000)
	var key string
	var value []byte
	a := crash.New(c, "a", slog.New(slog.DiscardHandler), func(k string, _ int64, v []byte, _ int64) { key, value = k, v })
	a.ReportCrash([]string{"bad", ""})
	a.OnFact(key, value)
	a.OnFact(key, []byte("not CBOR"))
	_, refused := a.Refuses("bad")
	assert.Assert(t, !refused)
	_, refused = a.Refuses("")
	assert.Assert(t, !refused)
}

func TestReportsOfSeveralNodesOnADeadNodeCountAsOneCrash(t *testing.T) {
	f := newFleet(3)
	for _, n := range f.nodes {
		n.RequestLost("dead/1", "bad")
		n.RequestLost("cut/1", "bad")
		n.PeerDead("dead/1")
	}
	assert.Equal(t, f.refusingNodes("bad"), 0)
	f.nodes[0].RequestLost("dead/2", "bad")
	f.nodes[0].PeerDead("dead/2")
	assert.Equal(t, f.refusingNodes("bad"), 3)
}
