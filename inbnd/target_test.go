package inbnd_test

import (
	"log/slog"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/conns"
	"bergamotloom.example/crash"
	"bergamotloom.example/dialct"
	"bergamotloom.example/inbnd"
	"bergamotloom.example/notice"
	"bergamotloom.example/parent"
)

func newGate() (*inbnd.Gate, func(float64)) {
	c, advance := clock.NewManual(1_000_000)
	g := inbnd.New(c, dialct.Dialect{}, "stock", 1500, conns.New("127.0.0.1:1", c, 1000), parent.New(c, "."), crash.New(c, "self", func(string, int64, []byte, int64) {}), slog.New(slog.DiscardHandler), metrics.NewRegistry())
	return g, advance
}

func beat(target string, born, sequence int64) notice.Notice {
	return notice.Notice{Target: target, Address: "127.0.0.1:1", Service: "stock", Slots: 10, BornMillis: born, Sequence: sequence}
}

func ready(t *testing.T, g *inbnd.Gate, want string) {
	t.Helper()
	got, ok := g.Target()
	assert.Equal(t, ok, want != "")
	if ok {
		assert.Equal(t, got, want)
	}
}

func TestGateWaitsForAHeartbeat(t *testing.T) {
	g, _ := newGate()
	ready(t, g, "")
	g.Hear(beat("a", 100, 1))
	ready(t, g, "a")
}

func TestHeartbeatOfAnEarlierStartChangesNothing(t *testing.T) {
	g, _ := newGate()
	g.Hear(beat("new", 200, 1))
	g.Hear(beat("old", 100, 50))
	ready(t, g, "new")
	// The same ID, started again.
	g.Hear(beat("new", 300, 1))
	g.Hear(beat("new", 200, 7))
	leaving := beat("new", 200, 8).WithLeaving()
	g.Hear(leaving)
	ready(t, g, "new")
}

// A node that has just started may hear that a target leaves before it has
// heard any heartbeat of it.
func TestLeaveOfATargetNotHeardYetBarsItsLateHeartbeats(t *testing.T) {
	g, advance := newGate()
	g.Leave("a")
	advance(2700)
	g.Hear(beat("a", 999_000, 15))
	ready(t, g, "")
	// The same ID, started again.
	g.Hear(beat("a", 1_001_000, 1))
	ready(t, g, "a")
}

func TestLeaveIsKept(t *testing.T) {
	g, _ := newGate()
	g.Hear(beat("a", 100, 1))
	g.Hear(beat("a", 100, 3).WithLeaving())
	ready(t, g, "")
	g.Hear(beat("a", 100, 2))
	g.Hear(beat("a", 100, 9))
	ready(t, g, "")
	g.Hear(beat("a", 200, 1))
	ready(t, g, "a")
	g.Leave("a")
	g.Hear(beat("a", 200, 5))
	ready(t, g, "")
	g.Hear(beat("b", 300, 1))
	ready(t, g, "b")
	g.Leave("a")
	ready(t, g, "b")
}

func TestTargetThatLeftBeforeTheNodeStartedStaysOut(t *testing.T) {
	g, _ := newGate()
	g.Forget("a", 100)
	g.Hear(beat("a", 100, 9))
	ready(t, g, "")
	g.Hear(beat("a", 200, 1))
	ready(t, g, "a")
	// The store's word may also come after the heartbeat.
	late, _ := newGate()
	late.Hear(beat("a", 100, 9))
	late.Forget("a", 100)
	ready(t, late, "")
}

func TestTargetWithoutAStartTimeSupersedesOnlyASilentOne(t *testing.T) {
	g, advance := newGate()
	g.Hear(beat("a", 0, 5))
	g.Hear(beat("b", 0, 1))
	ready(t, g, "a")
	advance(2000)
	g.Hear(beat("b", 0, 2))
	ready(t, g, "b")
}

func TestSilentTargetIsLostUntilItsNextHeartbeat(t *testing.T) {
	g, advance := newGate()
	g.Hear(beat("a", 100, 1))
	advance(5000)
	g.Tick()
	ready(t, g, "a")
	advance(2000)
	g.Tick()
	ready(t, g, "")
	g.Hear(beat("a", 100, 2))
	ready(t, g, "a")
}

func TestTargetOfAnotherServiceIsNotTaken(t *testing.T) {
	g, _ := newGate()
	other := beat("x", 900, 1)
	other.Service = "order"
	g.Hear(other)
	ready(t, g, "")
}

func TestStoppedGateStaysShut(t *testing.T) {
	g, _ := newGate()
	g.Hear(beat("a", 100, 1))
	g.Stop()
	g.Hear(beat("a", 100, 2))
	ready(t, g, "")
}
