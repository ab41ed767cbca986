package crash_test

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
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
		}, func(string, []byte) {}))
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
	a := crash.New(c, "a", slog.New(slog.DiscardHandler), func(k string, _ int64, v []byte, _ int64) { key, value = k, v }, func(string, []byte) {})
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

// newNode returns a node alone, whose published facts and kept rows are dropped.
func newNode(c clock.Clock, self string) *crash.Suspects {
	return crash.New(c, self, slog.New(slog.DiscardHandler), func(string, int64, []byte, int64) {}, func(string, []byte) {})
}

func TestNodeThatStartsLaterLearnsRefusalsFromCards(t *testing.T) {
	c, advance := clock.NewManual(1000)
	old, started := newNode(c, "old"), newNode(c, "started")
	old.ReportTargetCrash("x/1", []string{"bad", "other"})
	old.ReportTargetCrash("y/1", []string{"bad"})
	learn := func(to, from *crash.Suspects) { to.Learn(from.Describe(card.Card{Peers: "peer"})) }
	learn(started, old)
	_, refused := started.Refuses("bad")
	assert.Assert(t, refused)
	_, refused = started.Refuses("other")
	assert.Assert(t, !refused)
	// What two nodes tell each other ends all the same.
	for range 3 * crash.BlockMillis / 100 {
		learn(old, started)
		advance(50)
		learn(started, old)
		advance(50)
	}
	for _, n := range []*crash.Suspects{old, started} {
		_, refused = n.Refuses("bad")
		assert.Assert(t, !refused)
	}
}

func TestHarmlessRequestIsRefusedAgainByAnOlderCard(t *testing.T) {
	c, _ := clock.NewManual(1000)
	first, second := newNode(c, "first"), newNode(c, "second")
	for _, n := range []*crash.Suspects{first, second} {
		n.ReportTargetCrash("x/1", []string{"popular"})
		n.ReportTargetCrash("y/1", []string{"popular"})
	}
	first.ResponseReceived("popular")
	first.Learn(second.Describe(card.Card{Peers: "second"}))
	_, refused := first.Refuses("popular")
	assert.Assert(t, !refused)
}

func TestRowsOutlastAllNodes(t *testing.T) {
	c, advance := clock.NewManual(1000)
	rows := make(map[string][]byte)
	reporter := crash.New(c, "reporter", slog.New(slog.DiscardHandler), func(string, int64, []byte, int64) {}, func(key string, value []byte) { rows[key] = value })
	reporter.ReportTargetCrash("x/1", []string{"bad", "other"})
	reporter.ReportTargetCrash("y/1", []string{"bad"})
	assert.Equal(t, len(rows), 2)
	read := func() *crash.Suspects {
		started := newNode(c, "started")
		for key, value := range rows {
			assert.NilError(t, started.OnRow(key, value, false))
			// Read again, the same crash counts once.
			assert.NilError(t, started.OnRow(key, value, false))
		}
		return started
	}
	refused, suspects := read().Refused()
	assert.DeepEqual(t, refused, []string{"bad"})
	assert.Equal(t, suspects, 1)
	advance(crash.BlockMillis)
	refused, suspects = read().Refused()
	assert.Equal(t, len(refused)+suspects, 0)
	for _, value := range rows {
		assert.Assert(t, !reporter.IsExpired(value))
	}
	advance(crash.BlockMillis + 1)
	for _, value := range rows {
		assert.Assert(t, reporter.IsExpired(value))
	}
}

func TestMalformedRowsAreIgnored(t *testing.T) {
	c, _ := clock.NewManual(1000)
	n := newNode(c, "node")
	for _, value := range []string{"", "{", "[]", `{"Crash":7}`, `{"Fingerprints":["x"]}`, "\xff"} {
		assert.Assert(t, n.OnRow("key", []byte(value), true) != nil, value)
	}
	refused, suspects := n.Refused()
	assert.Equal(t, len(refused)+suspects, 0)
}

// After a restart of the whole fleet only few nodes read the rows.
func TestNodeThatReadsRowsTellsTheOthers(t *testing.T) {
	rows := make(map[string][]byte)
	c, _ := clock.NewManual(1000)
	reporter := crash.New(c, "reporter", slog.New(slog.DiscardHandler), func(string, int64, []byte, int64) {}, func(key string, value []byte) { rows[key] = value })
	reporter.ReportTargetCrash("x/1", []string{"bad", "popular"})
	reporter.ReportTargetCrash("y/1", []string{"bad", "popular"})
	f := newFleet(3)
	f.advance(500)
	f.nodes[2].ReportCrash([]string{"popular"})
	f.nodes[2].ResponseReceived("popular")
	for key, value := range rows {
		assert.NilError(t, f.nodes[0].OnRow(key, value, true))
	}
	assert.Equal(t, f.refusingNodes("bad"), 3)
	// A run of it ended well after these crashes.
	assert.Equal(t, f.refusingNodes("popular"), 0)
}
