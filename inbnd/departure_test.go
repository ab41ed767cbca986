package inbnd_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Leave requests of a faulty target, each with another ID, fill the memory.
func TestLeaveRequestsWithOtherIDsFillTheMemory(t *testing.T) {
	g, advance := newGate()
	padding := strings.Repeat("x", 60<<10)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 4000 {
		g.MarkLeaving(fmt.Sprint(i, padding))
		advance(1)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(g)
	// A node may use 128 MB for control.
	assert.Check(t, after.HeapAlloc < before.HeapAlloc+128<<20, "%d KB are kept", (after.HeapAlloc-before.HeapAlloc)>>10)
}

// Leave requests that name no known target displace the one that has left.
func TestTargetThatLeftIsForgottenAmongLeaveRequests(t *testing.T) {
	g, advance := newGate()
	g.HandleHeartbeat(heartbeat("a", 999_000, 1))
	g.MarkLeaving("a")
	for i := range 1000 {
		g.MarkLeaving(fmt.Sprint("other-", i))
		advance(1)
	}
	g.HandleHeartbeat(heartbeat("a", 999_000, 2))
	assertTarget(t, g, "")
}

// A target that starts again under its ID in the millisecond of its leave request is taken for
// the one that left.
func TestTargetThatStartsInTheMillisecondOfItsLeaveIsIgnored(t *testing.T) {
	g, _ := newGate()
	const nowMillis = 1_000_000
	g.HandleHeartbeat(heartbeat("a", nowMillis-1000, 1))
	g.MarkLeaving("a")
	g.HandleHeartbeat(heartbeat("a", nowMillis-1000, 2))
	assertTarget(t, g, "")
	g.HandleHeartbeat(heartbeat("a", nowMillis, 1))
	assertTarget(t, g, "a")
}
