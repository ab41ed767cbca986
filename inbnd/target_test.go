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
	g := inbnd.New(c, dialct.Dialect{}, "self", "stock", 1500, true, conns.New("127.0.0.1:1", c, 1000), parent.New(c, "."), crash.New(c, "self", slog.New(slog.DiscardHandler), func(string, int64, []byte, int64) {}, func(string, []byte) {}), func(string) {}, slog.New(slog.DiscardHandler), metrics.NewRegistry())
	return g, advance
}

func heartbeat(target string, startMillis, sequence int64) notice.Notice {
	return notice.Notice{Target: target, Address: "127.0.0.1:1", Service: "stock", Slots: 10, BornMillis: startMillis, Sequence: sequence}
}

func assertTarget(t *testing.T, g *inbnd.Gate, want string) {
	t.Helper()
	got, ok := g.Target()
	assert.Equal(t, ok, want != "")
	if ok {
		assert.Equal(t, got, want)
	}
}

func TestGateOpensAtTheFirstHeartbeat(t *testing.T) {
	g, _ := newGate()
	assertTarget(t, g, "")
	g.HandleHeartbeat(heartbeat("a", 100, 1))
	assertTarget(t, g, "a")
}

func TestHeartbeatOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	g, _ := newGate()
	g.HandleHeartbeat(heartbeat("new", 200, 1))
	g.HandleHeartbeat(heartbeat("old", 100, 50))
	assertTarget(t, g, "new")
	// A restart under the same ID.
	g.HandleHeartbeat(heartbeat("new", 300, 1))
	g.HandleHeartbeat(heartbeat("new", 200, 7))
	leaving := heartbeat("new", 200, 8).WithLeaving()
	g.HandleHeartbeat(leaving)
	assertTarget(t, g, "new")
}

// A node that has just started may learn that a target is leaving before it
// receives any heartbeat of it. Delayed heartbeats must not reopen the gate.
func TestDelayedHeartbeatsAreIgnoredAfterALeaveOfAnUnseenTarget(t *testing.T) {
	g, advance := newGate()
	g.MarkLeaving("a")
	advance(2700)
	g.HandleHeartbeat(heartbeat("a", 999_000, 15))
	assertTarget(t, g, "")
	// A restart under the same ID.
	g.HandleHeartbeat(heartbeat("a", 1_001_000, 1))
	assertTarget(t, g, "a")
}

func TestLeavingTargetStaysOutUntilItRestarts(t *testing.T) {
	g, _ := newGate()
	g.HandleHeartbeat(heartbeat("a", 100, 1))
	g.HandleHeartbeat(heartbeat("a", 100, 3).WithLeaving())
	assertTarget(t, g, "")
	g.HandleHeartbeat(heartbeat("a", 100, 2))
	g.HandleHeartbeat(heartbeat("a", 100, 9))
	assertTarget(t, g, "")
	g.HandleHeartbeat(heartbeat("a", 200, 1))
	assertTarget(t, g, "a")
	g.MarkLeaving("a")
	g.HandleHeartbeat(heartbeat("a", 200, 5))
	assertTarget(t, g, "")
	g.HandleHeartbeat(heartbeat("b", 300, 1))
	assertTarget(t, g, "b")
	g.MarkLeaving("a")
	assertTarget(t, g, "b")
}

func TestTargetThatLeftBeforeTheNodeStartedIsIgnored(t *testing.T) {
	g, _ := newGate()
	g.MarkLeft("a", 100, 0)
	g.HandleHeartbeat(heartbeat("a", 100, 9))
	assertTarget(t, g, "")
	g.HandleHeartbeat(heartbeat("a", 200, 1))
	assertTarget(t, g, "a")
	// The store may also be read after the heartbeat.
	late, _ := newGate()
	late.HandleHeartbeat(heartbeat("a", 100, 9))
	late.MarkLeft("a", 100, 0)
	assertTarget(t, late, "")
}

func TestTargetWithoutAStartTimeReplacesOnlyASilentOne(t *testing.T) {
	g, advance := newGate()
	g.HandleHeartbeat(heartbeat("a", 0, 5))
	g.HandleHeartbeat(heartbeat("b", 0, 1))
	assertTarget(t, g, "a")
	advance(2000)
	g.HandleHeartbeat(heartbeat("b", 0, 2))
	assertTarget(t, g, "b")
}

func TestSilentTargetIsNotReadyUntilItsNextHeartbeat(t *testing.T) {
	g, advance := newGate()
	g.HandleHeartbeat(heartbeat("a", 100, 1))
	advance(5000)
	g.Tick()
	assertTarget(t, g, "a")
	advance(2000)
	g.Tick()
	assertTarget(t, g, "")
	g.HandleHeartbeat(heartbeat("a", 100, 2))
	assertTarget(t, g, "a")
}

func TestHeartbeatOfAnotherServiceIsIgnored(t *testing.T) {
	g, _ := newGate()
	other := heartbeat("x", 900, 1)
	other.Service = "order"
	g.HandleHeartbeat(other)
	assertTarget(t, g, "")
}

func TestStoppedGateStaysClosed(t *testing.T) {
	g, _ := newGate()
	g.HandleHeartbeat(heartbeat("a", 100, 1))
	g.Stop()
	g.HandleHeartbeat(heartbeat("a", 100, 2))
	assertTarget(t, g, "")
}

// A leave request names no incarnation: late heartbeats of any that started before it
// must not reopen the gate, whichever the gate knew.
func TestLeaveRequestIsTakenForThatOfAnEarlierIncarnation(t *testing.T) {
	for name, learn := range map[string]func(g *inbnd.Gate){
		"from the store":   func(g *inbnd.Gate) { g.MarkLeft("a", 990_000, 0) },
		"present target":   func(g *inbnd.Gate) { g.HandleHeartbeat(heartbeat("a", 990_000, 5)) },
		"has announced it": func(g *inbnd.Gate) { g.HandleHeartbeat(heartbeat("a", 990_000, 5).WithLeaving()) },
	} {
		t.Run(name, func(t *testing.T) {
			g, advance := newGate()
			learn(g)
			g.MarkLeaving("a")
			advance(5000)
			g.HandleHeartbeat(heartbeat("a", 999_000, 2))
			assertTarget(t, g, "")
			// A restart under the same ID.
			g.HandleHeartbeat(heartbeat("a", 1_003_000, 1))
			assertTarget(t, g, "a")
		})
	}
}

// The clock of the node may have been ahead when the request came, so that a target that
// started later seems to have left.
func TestTargetThatGoesOnSendingHeartbeatsStaysIgnored(t *testing.T) {
	g, advance := newGate()
	g.MarkLeaving("a")
	g.HandleHeartbeat(heartbeat("a", 999_000, 1))
	assertTarget(t, g, "")
	// A node that reads this after a restart ignores the target for as long.
	startMillis, requestMillis := g.LeftStartMillis("a")
	restarted, advanceRestarted := newGate()
	restarted.MarkLeft("a", startMillis, requestMillis)
	for _, c := range []struct {
		gate    *inbnd.Gate
		advance func(float64)
	}{{g, advance}, {restarted, advanceRestarted}} {
		c.gate.HandleHeartbeat(heartbeat("a", 999_000, 2))
		assertTarget(t, c.gate, "")
		c.advance(10_000)
		c.gate.HandleHeartbeat(heartbeat("a", 999_000, 9))
		assertTarget(t, c.gate, "a")
		// Others must not exclude it either.
		startMillis, _ = c.gate.LeftStartMillis("a")
		assert.Assert(t, startMillis < 999_000)
	}
}

// Nodes that restart would ignore the present incarnation if it were named.
func TestIncarnationThatIsBackIsNamedAsTheOneThatLeft(t *testing.T) {
	g, _ := newGate()
	g.HandleHeartbeat(heartbeat("a", 100, 1).WithLeaving())
	g.HandleHeartbeat(heartbeat("a", 200, 1))
	startMillis, requestMillis := g.LeftStartMillis("a")
	assert.Equal(t, startMillis, int64(100))
	assert.Equal(t, requestMillis, int64(0))
}
