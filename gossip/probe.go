package gossip

import (
	"slices"

	"bergamotloom.example/member"
)

const (
	// pauseMillis is the gap between two ticks from which on the node takes
	// itself for paused.
	pauseMillis = 1000
	// beatMillis is the time between heartbeats to the next node.
	beatMillis = 500
	// quietMillis is how long a watched member may be silent before it's
	// probed, and suspectMillis before it's suspected.
	quietMillis   = 900
	suspectMillis = 1700
	// reprobeMillis is the time between probes of a quiet member.
	reprobeMillis = 250
	// doubtMillis is how long a member has to answer after a hint.
	doubtMillis = 800
	// relayCount is how many others are asked to probe a quiet member.
	relayCount = 3
	// lookPast is how many members are watched while the nearest is quiet.
	lookPast = 6
	// smallFleet is the number of members up to which a node that hears from
	// nobody suspects the others. In a larger fleet the fault is its own.
	smallFleet = 32
	// maxDoubts bounds the members that are probed on hints at once.
	maxDoubts = 1024
)

// watch is what the node knows of a member that it looks after.
type watch struct {
	id       string
	since    int64
	probedAt int64
	// isAsked says that the member doesn't send heartbeats here, and is asked
	// for a life sign all the time.
	isAsked bool
}

// noticePause starts all watches afresh if the node itself stood still: the
// others weren't silent, it was deaf.
func (g *Gossip) noticePause(now int64) {
	gap := now - g.tickedAt
	g.tickedAt = now
	if gap >= pauseMillis {
		g.settled = false
		g.walkAt = 0
	}
	if gap >= beatMillis {
		for i := range g.watches {
			g.watches[i].since = now
		}
		g.doubts = nil
	}
}

// beat sends the heartbeat to the next node on the ring.
func (g *Gossip) beat(now int64) {
	if now-g.beatAt < beatMillis || g.isEnded() {
		return
	}
	g.beatAt = now
	g.post(message{Recent: g.recentBriefs(now)}, g.ring.Successors(g.self, 1)...)
}

// rewatch works out whom to watch: the node before this one on the ring, which
// sends it heartbeats, and while that is quiet several more before it. These
// may have gone with it, and don't send heartbeats here.
func (g *Gossip) rewatch(now int64) {
	var next []watch
	for i, id := range g.ring.Predecessors(g.self, lookPast) {
		w := g.watchOf(id, now)
		w.isAsked = i > 0
		next = append(next, w)
		if i == 0 && g.silence(w, now) < quietMillis {
			break
		}
	}
	g.watches = next
}

func (g *Gossip) watchOf(id string, now int64) watch {
	for _, w := range g.watches {
		if w.id == id {
			return w
		}
	}
	return watch{id: id, since: now}
}

// silence returns for how long a watched member hasn't been heard.
func (g *Gossip) silence(w watch, now int64) int64 {
	last := w.since
	if e, ok := g.entries[keyOfMember(w.id)]; ok {
		last = max(last, e.heardAt)
	}
	return now - last
}

// watchOver probes the quiet among the watched and suspects the silent.
func (g *Gossip) watchOver(now int64) {
	g.rewatch(now)
	for i := range g.watches {
		w := &g.watches[i]
		silent := g.silence(*w, now)
		if silent >= quietMillis || w.isAsked {
			g.probeAgain(w, now)
		}
		if silent >= suspectMillis {
			g.suspect(w.id, now)
		}
	}
	g.watchDoubts(now)
}

// doubt begins to probe a member on a hint.
func (g *Gossip) doubt(id string) {
	now := g.clock.Now()
	if !g.mayDoubt(id) {
		return
	}
	w := watch{id: id, since: now}
	g.probeAgain(&w, now)
	g.doubts = append(g.doubts, w)
}

// askFirst shows a suspicion to the member itself. If it lives it refutes
// that; if it doesn't answer the suspicion holds here too.
func (g *Gossip) askFirst(m member.Member, leftMillis int64) {
	now := g.clock.Now()
	if !g.mayDoubt(m.ID) {
		return
	}
	g.doubts = append(g.doubts, watch{id: m.ID, since: now, probedAt: now, isAsked: true})
	g.post(message{
		Probe:  &probe{Kind: probePing},
		People: []wireMember{toWire(m, leftMillis)},
	}, m.ID)
}

func (g *Gossip) mayDoubt(id string) bool {
	isDoubted := slices.ContainsFunc(g.doubts, func(w watch) bool { return w.id == id })
	return id != g.self && g.ring.Contains(id) && !isDoubted && len(g.doubts) < maxDoubts
}

func (g *Gossip) watchDoubts(now int64) {
	kept := g.doubts[:0]
	for _, w := range g.doubts {
		e, ok := g.entries[keyOfMember(w.id)]
		if !ok || e.heardAt > w.since || !g.ring.Contains(w.id) {
			continue
		}
		if now-w.since >= doubtMillis {
			g.suspect(w.id, now)
			continue
		}
		g.probeAgain(&w, now)
		kept = append(kept, w)
	}
	g.doubts = kept
}

// probeAgain asks the member for a life sign, directly and by way of others.
func (g *Gossip) probeAgain(w *watch, now int64) {
	if w.probedAt != 0 && now-w.probedAt < reprobeMillis {
		return
	}
	w.probedAt = now
	g.post(message{Probe: &probe{Kind: probePing}}, w.id)
	if w.isAsked && g.silence(*w, now) < quietMillis {
		return
	}
	relays := g.pickPeers(relayCount, w.id)
	if len(relays) > 0 {
		g.post(message{Probe: &probe{Kind: probeRelay, About: w.id}}, relays...)
	}
}

// suspect takes a member out of the choices until it refutes that.
func (g *Gossip) suspect(id string, now int64) {
	isDeaf := now-g.heardAt >= quietMillis
	if isDeaf && g.ring.Len() > smallFleet {
		return
	}
	e, ok := g.entries[keyOfMember(id)]
	if !ok || e.member.Suspect || e.member.Dead {
		return
	}
	g.storeMember(e.member.WithSuspect(), rememberMillis, true)
}

// answerProbe handles a probe and returns what goes back to its sender.
func (g *Gossip) answerProbe(from string, p probe) *probe {
	switch p.Kind {
	case probePing:
		return &probe{Kind: probeAck, Origin: p.Origin, About: g.self, Incarnation: g.life}
	case probeRelay:
		if !g.isKnown(p.About) {
			return nil
		}
		g.post(message{Probe: &probe{Kind: probePing, Origin: from}}, p.About)
		// This one's life sign tells the sender that it isn't deaf itself.
		g.post(message{}, from)
	case probeAck:
		g.takeAck(p)
	}
	return nil
}

// takeAck notes a life sign, and passes it on to the node that asked for it.
func (g *Gossip) takeAck(p probe) {
	if g.isKnown(p.Origin) && p.Origin != g.self {
		answer := probe{Kind: probeAck, About: p.About, Incarnation: p.Incarnation}
		g.post(message{Probe: &answer}, p.Origin)
		return
	}
	e, ok := g.entries[keyOfMember(p.About)]
	if ok && e.member.Incarnation == p.Incarnation {
		e.heardAt = g.clock.Now()
	}
}

// isKnown keeps the node from sending to addresses that only a message names.
func (g *Gossip) isKnown(id string) bool {
	_, ok := g.entries[keyOfMember(id)]
	return ok
}

// heard notes the life sign that every message is. It returns the wish for
// the sender's record if that is missing, and tells whether the sender should
// see what is held of it: it may be suspect, dead or replaced without knowing.
func (g *Gossip) heard(from string, incarnation int64) (want, tell bool) {
	now := g.clock.Now()
	g.heardAt = now
	e, ok := g.entries[keyOfMember(from)]
	if !ok || e.member.Incarnation < incarnation {
		return true, false
	}
	if e.member.Incarnation > incarnation {
		return false, true
	}
	e.heardAt = now
	return false, isPassing(e.member)
}

func isPassing(m member.Member) bool {
	return m.Suspect || m.Dead
}
