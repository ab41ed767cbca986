package inbnd

import (
	"bergamotloom.example/crash"
	"bergamotloom.example/notice"
	"bergamotloom.example/speed"
)

// maxClockSkewMillis is how much the wall clocks of a target and of its node may
// differ.
const maxClockSkewMillis = 3_600_000

// HandleHeartbeat updates the state of the target from its heartbeat. A heartbeat
// that is older than the last one, or that comes from an earlier incarnation,
// is ignored.
func (g *Gate) HandleHeartbeat(n notice.Notice) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if n.Service != g.service {
		g.log.Warn("gate: ignored a heartbeat of another service", "Target", n.Target, "Service", n.Service)
		return
	}
	if now := g.clock.Now(); n.BornMillis > now+maxClockSkewMillis {
		// It would hide all later heartbeats of the target.
		g.log.Warn("gate: ignored a heartbeat with a start time in the future", "Target", n.Target, "BornMillis", n.BornMillis, "NowMillis", now)
		return
	}
	if g.hasLeft(n) {
		return
	}
	if g.target.Target != "" && !g.supersedes(n) {
		g.log.Info("gate: old heartbeat", "Target", n.Target, "Sequence", n.Sequence, "Known", g.target.Target, "KnownSequence", g.target.Sequence)
		return
	}
	restarted := n.Target != g.target.Target || n.BornMillis != g.target.BornMillis
	if restarted && g.target.Target != "" {
		if g.target.Leaving {
			g.crashes.targetLeft()
		}
		g.crashes.targetDied(g.crashID())
	}
	if restarted && g.target.Target != "" {
		g.changeLimit(g.named.Reset)
	}
	if restarted {
		g.coldAnsweredUntil = 0
	}
	if restarted || n.Slots != g.governor.Slots() {
		g.governor.Restart(n.Slots)
		g.speed = speed.New(g.clock)
	}
	wasUnreachable := !g.reachable
	g.target, g.reachable, g.lastSeenMillis = n, true, g.clock.Now()
	if n.Leaving {
		g.leave("announced in a heartbeat")
		return
	}
	// A heartbeat may have been sent before the target became cold and said so when asked.
	g.learnCold(max(n.ColdMillis, g.coldAnsweredUntil-g.clock.Now()), "Heartbeat")
	if restarted || wasUnreachable {
		g.log.Info("gate: target is ready", "Target", n.Target, "BornMillis", n.BornMillis, "Sequence", n.Sequence, "Slots", n.Slots, "ColdMillis", n.ColdMillis)
	}
	g.open()
}

// open opens the gate if the target accepts requests. The mutex must be held.
func (g *Gate) open() {
	if g.accepts() {
		g.governor.ApplyLimit()
		g.queue.Open()
	}
}

// supersedes reports whether a heartbeat is later than the last one.
// Incarnations are ordered by their start times; without these, a heartbeat with
// another ID is later only if the last target is leaving, unreachable or overdue
// with a heartbeat.
func (g *Gate) supersedes(n notice.Notice) bool {
	if n.Target == g.target.Target || n.BornMillis != 0 && g.target.BornMillis != 0 {
		return n.Newer(g.target)
	}
	return !g.reachable || g.target.Leaving || g.clock.Now()-g.lastSeenMillis > g.heartbeatMillis
}

// MarkLeaving records that the target with this ID is leaving, as it has requested. The
// request names no incarnation: it stands for all that started before it, also for one
// whose first heartbeat hasn't been processed yet.
func (g *Gate) MarkLeaving(target string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	before := g.departures[target]
	g.departures.put(target, before.withRequest(g.clock.Now()))
	g.lastLeftTarget = target
	if g.target.Target == target {
		g.target = g.target.WithLeaving()
		g.leave("announced by a leave request")
		return
	}
	g.log.Info("gate: target leaves", "Target", target, "How", "announced by a leave request before its first heartbeat here", "LeftBeforeBornMillis", before.startMillis)
}

// MarkLeft records that the incarnations of a target that started at startMillis
// or earlier have left, and when the last leave request of the target came; both are in
// milliseconds since 1970, and 0 if unknown. Their heartbeats are ignored
// from now on. A node reads this from the store at its own start, or learns it from
// its peers. MarkLeft reports whether that wasn't known before.
func (g *Gate) MarkLeft(target string, startMillis, requestMillis int64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known, ok := g.departures[target]
	if startMillis == requestMillis && requestMillis != 0 {
		// Only the request is known.
		startMillis = 0
	}
	d := known.withLeft(startMillis).withRequest(requestMillis)
	if ok && d == known {
		return false
	}
	if g.lastLeftTarget == "" {
		g.lastLeftTarget = target
	}
	g.departures.put(target, d)
	if g.target.Target == target && g.hasLeft(g.target) && !g.target.Leaving {
		g.target = g.target.WithLeaving()
		g.leave("left before this node started")
	}
	return true
}

// leave closes the gate because the target is leaving. The mutex must be held.
func (g *Gate) leave(how string) {
	g.departures.put(g.target.Target, g.departures[g.target.Target].withLeft(g.target.BornMillis))
	g.lastLeftTarget = g.target.Target
	g.queue.Close()
	running, _ := g.queue.Load()
	g.log.Info("gate: target leaves", "Target", g.target.Target, "BornMillis", g.target.BornMillis, "Sequence", g.target.Sequence, "How", how, "Running", running)
}

// hasLeft reports whether the incarnation that sent the heartbeat has left
// already.
func (g *Gate) hasLeft(n notice.Notice) bool {
	d, ok := g.departures[n.Target]
	return ok && n.BornMillis <= d.lastStartMillis(g.clock)
}

// current returns the last heartbeat, and whether its target accepts requests.
func (g *Gate) current() (notice.Notice, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.target, g.accepts()
}

// accepts reports whether the target accepts requests. The mutex must be held.
func (g *Gate) accepts() bool {
	return g.reachable && !g.target.Leaving && !g.stopping && !g.evacuated
}

// markUnreachable closes the gate until the next heartbeat.
func (g *Gate) markUnreachable(target string, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.target.Target != target || !g.reachable {
		return
	}
	g.reachable = false
	g.queue.Close()
	g.crashes.targetDied(g.crashID())
	g.log.Warn("gate: target can't be reached", "Target", target, "Error", err.Error())
}

// LastLeft returns the ID of the last target that announced that it leaves.
func (g *Gate) LastLeft() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lastLeftTarget
}

// LeftStartMillis returns the start time of the last incarnation of a target that has
// left, and when its last leave request came, both in milliseconds since 1970; 0 if
// unknown. They're equal if only the request is known.
func (g *Gate) LeftStartMillis(target string) (startMillis, requestMillis int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.leftStartMillis(target)
}

// leftStartMillis is LeftStartMillis with the mutex held.
func (g *Gate) leftStartMillis(target string) (startMillis, requestMillis int64) {
	d := g.departures[target]
	startMillis = d.startMillis
	if startMillis == 0 {
		startMillis = d.requestMillis
	}
	if g.target.Target == target && g.target.BornMillis > 0 && !g.target.Leaving {
		// The present incarnation hasn't left.
		startMillis = min(startMillis, g.target.BornMillis-1)
	}
	return startMillis, d.requestMillis
}

// Target returns the ID of the target, and whether it accepts requests.
func (g *Gate) Target() (id string, ready bool) {
	n, ok := g.current()
	return n.Target, ok
}

// crashID returns the ID of a crash of the present target. The mutex must be held.
func (g *Gate) crashID() string {
	return crash.TargetID(g.self, g.target.BornMillis)
}
