package inbnd

import "bergamotloom.example/notice"

// Hear takes a heartbeat of the target. One that is older than what is known,
// or that comes from an earlier start, changes nothing.
func (g *Gate) Hear(n notice.Notice) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if n.Service != g.service {
		g.log.Warn("gate: heartbeat of another service", "Target", n.Target, "Service", n.Service)
		return
	}
	if g.hasLeft(n) {
		return
	}
	if g.target.Target != "" && !g.supersedes(n) {
		g.log.Info("gate: old heartbeat", "Target", n.Target, "Sequence", n.Sequence, "Known", g.target.Target, "KnownSequence", g.target.Sequence)
		return
	}
	started := n.Target != g.target.Target || n.BornMillis != g.target.BornMillis
	if started {
		g.deaths.proved()
	}
	if started || n.Slots != g.governor.Slots() {
		g.governor.Restart(n.Slots)
	}
	opened := !g.known
	g.target, g.known, g.heardAt = n, true, g.clock.Now()
	if n.Leaving {
		g.leave("says that it leaves")
		return
	}
	if started || opened {
		g.log.Info("gate: target is ready", "Target", n.Target, "BornMillis", n.BornMillis, "Sequence", n.Sequence, "Slots", n.Slots, "ColdMillis", n.ColdMillis)
	}
	if !g.stopping {
		g.governor.ApplyLimit()
		g.queue.Open()
	}
}

// supersedes tells whether a heartbeat is later than the one known. Start
// times order starts; without them a heartbeat under another ID is later only
// if the known target fell silent.
func (g *Gate) supersedes(n notice.Notice) bool {
	if n.Target == g.target.Target || n.BornMillis != 0 && g.target.BornMillis != 0 {
		return n.Newer(g.target)
	}
	return !g.known || g.target.Leaving || g.clock.Now()-g.heardAt > g.beatMillis
}

// Leave notes that the target with this ID leaves.
func (g *Gate) Leave(target string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.target.Target == target {
		g.target = g.target.WithLeaving()
		g.leave("has signed off")
		return
	}
	if _, ok := g.left[target]; !ok {
		// Whichever start it was began before now. A later heartbeat of it is a
		// late one.
		g.left[target] = g.clock.Now()
		g.log.Info("gate: target leaves", "Target", target, "How", "has signed off before its first heartbeat here")
	}
	g.lastLeft = target
}

// Forget bars a target of which peers or the store say that it left.
func (g *Gate) Forget(target string, bornMillis int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.left[target] = max(g.left[target], bornMillis)
	if g.target.Target == target && g.target.BornMillis <= bornMillis && !g.target.Leaving {
		g.target = g.target.WithLeaving()
		g.leave("left before this node started")
	}
}

func (g *Gate) leave(how string) {
	g.left[g.target.Target] = g.target.BornMillis
	g.lastLeft = g.target.Target
	g.queue.Close()
	running, _ := g.queue.Load()
	g.log.Info("gate: target leaves", "Target", g.target.Target, "Sequence", g.target.Sequence, "How", how, "Running", running)
}

// hasLeft tells whether the start that sent the heartbeat has left before.
func (g *Gate) hasLeft(n notice.Notice) bool {
	born, ok := g.left[n.Target]
	return ok && n.BornMillis <= born
}

// current returns the target that takes requests.
func (g *Gate) current() (notice.Notice, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.target, g.known && !g.target.Leaving && !g.stopping
}

// lose closes the gate until the target is heard again.
func (g *Gate) lose(target string, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.target.Target != target || !g.known {
		return
	}
	g.known = false
	g.queue.Close()
	g.deaths.proved()
	g.log.Warn("gate: target can't be reached", "Target", target, "Error", err.Error())
}

// Born returns when the target with this ID started, as far as it's known.
func (g *Gate) Born(target string) int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.target.Target == target {
		return g.target.BornMillis
	}
	return g.left[target]
}

// Target returns the ID of the target that takes requests, and whether one
// does.
func (g *Gate) Target() (id string, ready bool) {
	n, ok := g.current()
	return n.Target, ok
}
