package sidecr

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/notice"
)

const (
	// minOpenDelayMillis is how long after a restart a gate stays closed, so that the store
	// and peers can tell which target left here before.
	minOpenDelayMillis = 300
	// askIntervalMillis is the min time between two questions to the target whether it's
	// ready.
	askIntervalMillis = 1000
)

// mayOpen reports whether the gate may open at a heartbeat. After a restart the node
// doesn't know which target left, and a heartbeat may have been delayed. Nor does it know
// which data centres are under evacuation. The store tells which target left if it was never
// away: while it's away leaves aren't recorded. Otherwise the target has to prove that it
// stays.
func (n *Sidecar) mayOpen(b notice.Notice) bool {
	if n.evacuationsUnknown() {
		return false
	}
	if n.params.FirstStart || n.knowsLeft.Load() && n.clock.Since(n.startedMillis) >= minOpenDelayMillis {
		return true
	}
	return n.alive.Proven(b)
}

// OnHeartbeat processes a heartbeat of the target.
func (n *Sidecar) OnHeartbeat(ctx context.Context, b notice.Notice) {
	n.alive.Learn(b)
	// The gate ignores heartbeats of another service.
	if !b.Leaving && b.Service == n.params.Service && !n.mayOpen(b) {
		n.keepHeartbeat(b)
		return
	}
	n.handleHeartbeat(ctx, b)
}

// keepHeartbeat keeps a heartbeat for handleKeptHeartbeat, unless a newer one is kept.
func (n *Sidecar) keepHeartbeat(b notice.Notice) {
	n.keptMutex.Lock()
	defer n.keptMutex.Unlock()
	if n.kept == nil || b.Newer(*n.kept) {
		n.kept = &b
	}
}

// takeKept removes and returns the heartbeat that was kept, if it's from this target.
func (n *Sidecar) takeKept(target string) (notice.Notice, bool) {
	n.keptMutex.Lock()
	defer n.keptMutex.Unlock()
	if n.kept == nil || n.kept.Target != target {
		return notice.Notice{}, false
	}
	b := *n.kept
	n.kept = nil
	return b, true
}

// handleKeptHeartbeat processes the heartbeat that was kept, once the gate may open.
func (n *Sidecar) handleKeptHeartbeat(ctx context.Context) {
	n.keptMutex.Lock()
	b := n.kept
	if b == nil {
		n.keptMutex.Unlock()
		return
	}
	if !n.mayOpen(*b) {
		n.keptMutex.Unlock()
		n.askReady(*b)
		return
	}
	n.kept = nil
	n.keptMutex.Unlock()
	n.handleHeartbeat(ctx, *b)
}

// askReady asks the target in the background whether it's ready, unless the store may
// still tell, or the target was asked just before.
func (n *Sidecar) askReady(b notice.Notice) {
	now := n.clock.Now()
	if n.stopping.Load() || now-n.startedMillis < minOpenDelayMillis || n.knowsLeft.Load() || now-n.askedMillis.Load() < askIntervalMillis || !n.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.asking.Store(false)
		if !n.gate.KnowsHealthPath() {
			return
		}
		n.askedMillis.Store(now)
		ready, err := n.gate.AskReady(b)
		if err != nil {
			metrics.GetOrRegisterCounter("target.asked.unanswered", n.registry).Inc(1)
			n.log.Warn("node: the target doesn't tell whether it's ready, its heartbeats have to go on", "Target", b.Target, "Sequence", b.Sequence, "Error", err.Error())
			return
		}
		metrics.GetOrRegisterCounter("target.asked.answered", n.registry).Inc(1)
		n.log.Info("node: the target tells whether it's ready", "Target", b.Target, "Sequence", b.Sequence, "Ready", ready)
		n.alive.SetReady(b, ready)
	}()
}

func (n *Sidecar) handleHeartbeat(ctx context.Context, b notice.Notice) {
	before, hadTarget := n.gate.Target()
	n.gate.HandleHeartbeat(b)
	after, hasTarget := n.gate.Target()
	if b.Leaving {
		n.recordLeave(ctx, b.Target)
	}
	if hadTarget != hasTarget || before != after {
		n.mesh.Broadcast()
	}
}
