package gossip

import (
	"slices"

	"bergamotloom.example/member"
)

const (
	// pauseMillis is the min gap between two ticks at which the node assumes that
	// the process was paused.
	pauseMillis = 1000
	// heartbeatMillis is the time between heartbeats to the successor.
	heartbeatMillis = 500
	// probeAfterMillis is how long a watched member may be silent before it's
	// probed, and suspectAfterMillis before it becomes suspect.
	probeAfterMillis   = 900
	suspectAfterMillis = 1700
	// reprobeMillis is the time between probes of a silent member.
	reprobeMillis = 250
	// hintTimeoutMillis is how long a member has to respond after a hint.
	hintTimeoutMillis = 800
	// relayCount is how many other nodes are asked to probe a silent member.
	relayCount = 3
	// maxWatched is how many members are watched while the nearest is silent.
	maxWatched = 6
	// smallFleetSize is the number of members up to which a node that gets no
	// messages at all suspects the others. In a larger fleet it assumes that its own
	// connection failed, and suspects nobody.
	smallFleetSize = 32
	// maxHinted bounds the members that are probed because of hints at once.
	maxHinted = 1024
)

// watch is the state of a member that this node watches or probes.
type watch struct {
	id       string
	since    int64
	probedAt int64
	// needsProbes says that direct probes replace heartbeats; other nodes are asked
	// to probe only while the member is silent.
	needsProbes bool
}

// detectPause restarts all watches after a gap of heartbeatMillis between ticks: the
// others weren't silent, this node just didn't read their messages. After a gap of
// pauseMillis the node also isn't synced any more.
func (g *Gossip) detectPause(now int64) {
	gap := now - g.tickedAt
	g.tickedAt = now
	if gap >= pauseMillis {
		g.synced = false
		g.comparedAt = 0
	}
	if gap >= heartbeatMillis {
		for i := range g.watched {
			g.watched[i].since = now
		}
		g.hinted = nil
	}
}

// sendHeartbeat sends the heartbeat to the successor on the ring.
func (g *Gossip) sendHeartbeat(now int64) {
	if now-g.heartbeatAt < heartbeatMillis || g.isConfirmedDead() {
		return
	}
	g.heartbeatAt = now
	g.post(message{Recent: g.recentHashes(now)}, g.ring.Successors(g.self, 1)...)
}

// updateWatched selects the members to watch: the predecessor on the ring, which
// sends heartbeats here, and while it's silent several nodes before it. These may
// have failed together with it, and don't send heartbeats here.
func (g *Gossip) updateWatched(now int64) {
	var next []watch
	for i, id := range g.ring.Predecessors(g.self, maxWatched) {
		w := g.watchFor(id, now)
		w.needsProbes = i > 0
		next = append(next, w)
		if i == 0 && g.silentMillis(w, now) < probeAfterMillis {
			break
		}
	}
	g.watched = next
}

func (g *Gossip) watchFor(id string, now int64) watch {
	for _, w := range g.watched {
		if w.id == id {
			return w
		}
	}
	return watch{id: id, since: now}
}

// silentMillis returns how long ago a watched member was last seen.
func (g *Gossip) silentMillis(w watch, now int64) int64 {
	last := w.since
	if e, ok := g.entries[keyOfMember(w.id)]; ok {
		last = max(last, e.lastSeenMillis)
	}
	return now - last
}

// checkWatched probes silent watched members, and suspects those that stay silent.
func (g *Gossip) checkWatched(now int64) {
	g.updateWatched(now)
	for i := range g.watched {
		w := &g.watched[i]
		silentFor := g.silentMillis(*w, now)
		if silentFor >= probeAfterMillis || w.needsProbes {
			g.probeIfDue(w, now)
		}
		if silentFor >= suspectAfterMillis {
			g.markSuspect(w.id, now)
		}
	}
	g.checkHinted(now)
}

// probeOnHint begins to probe a member because of a hint.
func (g *Gossip) probeOnHint(id string) {
	now := g.clock.Now()
	if !g.canProbeOnHint(id) {
		return
	}
	w := watch{id: id, since: now}
	g.probeIfDue(&w, now)
	g.hinted = append(g.hinted, w)
}

// verifySuspicion sends a suspicion to the member itself. If it's alive it refutes
// the suspicion; if it doesn't respond, this node suspects it too.
func (g *Gossip) verifySuspicion(m member.Member, leftMillis int64) {
	now := g.clock.Now()
	if !g.canProbeOnHint(m.ID) {
		return
	}
	g.hinted = append(g.hinted, watch{id: m.ID, since: now, probedAt: now, needsProbes: true})
	g.post(message{
		Probe:   &probe{Kind: probePing},
		Members: []wireMember{toWire(m, leftMillis)},
	}, m.ID)
}

func (g *Gossip) canProbeOnHint(id string) bool {
	isHinted := slices.ContainsFunc(g.hinted, func(w watch) bool { return w.id == id })
	return id != g.self && g.ring.Contains(id) && !isHinted && len(g.hinted) < maxHinted
}

func (g *Gossip) checkHinted(now int64) {
	kept := g.hinted[:0]
	for _, w := range g.hinted {
		e, ok := g.entries[keyOfMember(w.id)]
		if !ok || e.lastSeenMillis > w.since || !g.ring.Contains(w.id) {
			continue
		}
		if now-w.since >= hintTimeoutMillis {
			g.markSuspect(w.id, now)
			continue
		}
		g.probeIfDue(&w, now)
		kept = append(kept, w)
	}
	g.hinted = kept
}

// probeIfDue probes the member, directly and through other nodes.
func (g *Gossip) probeIfDue(w *watch, now int64) {
	if w.probedAt != 0 && now-w.probedAt < reprobeMillis {
		return
	}
	w.probedAt = now
	g.post(message{Probe: &probe{Kind: probePing}}, w.id)
	if w.needsProbes && g.silentMillis(*w, now) < probeAfterMillis {
		return
	}
	relays := g.pickPeers(relayCount, w.id)
	if len(relays) > 0 {
		g.post(message{Probe: &probe{Kind: probeRelay, About: w.id}}, relays...)
	}
}

// markSuspect excludes a member from instance selection until it refutes the
// suspicion.
func (g *Gossip) markSuspect(id string, now int64) {
	isIsolated := now-g.lastSeenMillis >= probeAfterMillis
	if isIsolated && g.ring.Len() > smallFleetSize {
		return
	}
	e, ok := g.entries[keyOfMember(id)]
	if !ok || e.member.Suspect || e.member.Dead {
		return
	}
	g.storeMember(e.member.WithSuspect(), retentionMillis, true)
}

// handleProbe handles a probe and returns the response to its sender, if any.
func (g *Gossip) handleProbe(from string, p probe) *probe {
	switch p.Kind {
	case probePing:
		return &probe{Kind: probeAck, Origin: p.Origin, About: g.self, Incarnation: g.incarnation}
	case probeRelay:
		if !g.isKnown(p.About) {
			return nil
		}
		g.post(message{Probe: &probe{Kind: probePing, Origin: from}}, p.About)
		// The empty message shows the requesting node that its own connection works.
		g.post(message{}, from)
	case probeAck:
		g.handleAck(p)
	}
	return nil
}

// handleAck records that a member is alive, or relays that to the node that asked.
func (g *Gossip) handleAck(p probe) {
	if g.isKnown(p.Origin) && p.Origin != g.self {
		response := probe{Kind: probeAck, About: p.About, Incarnation: p.Incarnation}
		g.post(message{Probe: &response}, p.Origin)
		return
	}
	e, ok := g.entries[keyOfMember(p.About)]
	if ok && e.member.Incarnation == p.Incarnation {
		e.lastSeenMillis = g.clock.Now()
	}
}

// isKnown reports whether there is a record of the member. It keeps the node from
// sending to addresses that occur only in a message.
func (g *Gossip) isKnown(id string) bool {
	_, ok := g.entries[keyOfMember(id)]
	return ok
}

// markSeen records that the sender of a message is alive. It returns whether the
// sender's record is missing here, and whether to send the sender its own record,
// because it's suspect, dead or replaced here.
func (g *Gossip) markSeen(from string, incarnation int64) (isMissing, needsOwnRecord bool) {
	now := g.clock.Now()
	g.lastSeenMillis = now
	e, ok := g.entries[keyOfMember(from)]
	if !ok || e.member.Incarnation < incarnation {
		return true, false
	}
	if e.member.Incarnation > incarnation {
		return false, true
	}
	e.lastSeenMillis = now
	return false, isSuspectOrDead(e.member)
}

func isSuspectOrDead(m member.Member) bool {
	return m.Suspect || m.Dead
}
