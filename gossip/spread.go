package gossip

import "slices"

const (
	// pushCount is the number of peers that a new entry is pushed to. One that
	// takes a member out of the choices is urgent, and pushed to as many again
	// in the next round.
	pushCount    = 4
	urgentRounds = 2
	// backlog is how many new entries make the node push to fewer peers;
	// comparisons mend what that misses.
	backlog          = 64
	backlogPushCount = 2
	// busyMillis is how long after a backlog the node compares more often.
	busyMillis = 10_000
	// batchBytes is about how much one batch of entries may take.
	batchBytes = 16 << 10
	// inlineBytes is the size of the largest value that is pushed as it is.
	// Of larger ones only the hashes are pushed, and who lacks it asks.
	inlineBytes = 256
	// recentCount bounds the recent entries that ride on one message.
	recentCount = 32
	// askAgainMillis is how long an answer is awaited before another peer is
	// asked; askTries bounds how often that happens, maxAsks how many entries
	// are awaited at once.
	askAgainMillis = 200
	askTries       = 3
	maxAsks        = 256
	// memberBytes and factBytes are about what a record takes beside its text.
	memberBytes = 40
	factBytes   = 24
)

// handle takes a message apart and sends back what it calls for.
func (g *Gossip) handle(from string, m message) {
	var answer message
	want, tell := g.heard(from, m.Incarnation)
	g.take(m)
	if want {
		g.ask(&answer, ask{key: keyOfMember(from), isAny: true})
	}
	if tell {
		g.give(&answer, g.entries[keyOfMember(from)])
	}
	if m.Probe != nil {
		answer.Probe = g.answerProbe(from, *m.Probe)
	}
	if m.Recent != nil {
		g.askMissing(&answer, *m.Recent)
	}
	g.giveAll(&answer, m.Wants, batchBytes)
	if m.Walk != nil {
		g.step(from, &answer, *m.Walk)
	}
	if !answer.isEmpty() {
		g.post(answer, from)
	}
}

func (m message) isEmpty() bool {
	return m.Probe == nil && m.Walk == nil &&
		len(m.Wants) == 0 && len(m.People) == 0 && len(m.Facts) == 0
}

// take stores the entries of a message. What comes while the node catches up
// is old news to the others and isn't pushed on.
func (g *Gossip) take(m message) {
	spread := g.settled || m.Walk == nil
	for _, w := range m.People {
		g.applyMember(w.member(), w.LeftMillis, spread)
	}
	for _, w := range m.Facts {
		g.takeFact(w, spread)
	}
}

func (g *Gossip) takeFact(w wireFact, spread bool) {
	_, known := g.entries[keyOfFact(w.Key)]
	isFading := w.LeftMillis > 0 && w.LeftMillis <= fadeMillis
	if !known && isFading || len(w.Value) > MaxValueBytes {
		return
	}
	f := fact{key: w.Key, version: w.Version, value: w.Value}
	g.applyFact(f, max(w.LeftMillis, 0), spread)
}

// push sends new entries to a few random peers, as one batch.
func (g *Gossip) push() {
	if len(g.fresh) == 0 {
		g.fresh, g.again = g.again, nil
	}
	if len(g.fresh) == 0 {
		return
	}
	hasBacklog := len(g.fresh) > backlog
	m, size := g.nextBatch()
	if size == 0 {
		return
	}
	count := pushCount
	if hasBacklog {
		count = backlogPushCount
		g.busyUntil = g.clock.Now() + busyMillis
	}
	if peers := g.pickPeers(count, ""); len(peers) > 0 {
		g.post(m, peers...)
	}
}

// nextBatch takes new entries up to the size of a batch, and returns about how
// much they take.
func (g *Gossip) nextBatch() (m message, size int) {
	for len(g.fresh) > 0 && size < batchBytes {
		e := g.fresh[0]
		g.fresh = g.fresh[1:]
		if e.dropped {
			continue
		}
		size += g.pushOne(&m, e)
		e.pushes++
		if e.isUrgent() && e.pushes < urgentRounds {
			g.again = append(g.again, e)
		}
	}
	return m, size
}

func (e *entry) isUrgent() bool {
	return e.isMember() && (isPassing(e.member) || e.member.Leaving)
}

func (g *Gossip) pushOne(m *message, e *entry) int {
	if len(e.fact.value) <= inlineBytes {
		return g.give(m, e)
	}
	if m.Recent == nil {
		m.Recent = &briefs{}
	}
	m.Recent.add(e)
	return factBytes
}

// give adds an entry to a message and returns about how much it takes.
func (g *Gossip) give(m *message, e *entry) int {
	left := e.leftMillis(g.clock.Now())
	if e.isMember() {
		m.People = append(m.People, toWire(e.member, left))
		return memberBytes + len(e.member.ID) + len(e.member.Callers)
	}
	m.Facts = append(m.Facts, wireFact{
		Key:        e.fact.key,
		Version:    e.fact.version,
		Value:      e.fact.value,
		LeftMillis: left,
	})
	return factBytes + len(e.fact.key) + len(e.fact.value)
}

// giveAll adds the wanted entries up to about the limit, and tells whether all
// went in.
func (g *Gossip) giveAll(m *message, keys []uint64, limit int) bool {
	size := 0
	for _, k := range keys {
		if size >= limit {
			return false
		}
		if e, ok := g.entries[k]; ok {
			size += g.give(m, e)
		}
	}
	return true
}

// recentBriefs returns the hashes of the newest entries, for those who missed
// them.
func (g *Gossip) recentBriefs(now int64) *briefs {
	var b briefs
	for i := len(g.recent) - 1; i >= 0 && len(b.Keys) < recentCount; i-- {
		e := g.recent[i]
		if now-e.changedAt >= recentMillis {
			break
		}
		if !e.dropped {
			b.add(e)
		}
	}
	if len(b.Keys) == 0 {
		return nil
	}
	return &b
}

// askMissing asks for the listed entries that the node never saw.
func (g *Gossip) askMissing(m *message, b briefs) {
	for i, k := range b.Keys {
		if !g.knows(k, b.Marks[i]) {
			g.ask(m, ask{key: k, mark: b.Marks[i]})
		}
	}
}

func (g *Gossip) knows(key uint64, mark uint32) bool {
	if e, ok := g.entries[key]; ok && e.mark == mark {
		return true
	}
	_, ok := g.seen[versionHash(key, mark)]
	return ok
}

// ask is an entry that the node asked for.
type ask struct {
	key  uint64
	mark uint32
	// isAny says that any version of the entry will do.
	isAny   bool
	askedAt int64
	tries   int
}

// ask adds a wish to a message, unless an answer to the same is awaited.
func (g *Gossip) ask(m *message, a ask) {
	isAsked := slices.ContainsFunc(g.asks, func(o ask) bool {
		return o.key == a.key && o.mark == a.mark
	})
	if isAsked || len(g.asks) >= maxAsks {
		return
	}
	a.askedAt = g.clock.Now()
	g.asks = append(g.asks, a)
	m.Wants = append(m.Wants, a.key)
}

// askAgain asks another peer for what didn't come.
func (g *Gossip) askAgain(now int64) {
	var m message
	kept := g.asks[:0]
	for _, a := range g.asks {
		if g.isAnswered(a) || a.tries >= askTries {
			continue
		}
		if now-a.askedAt >= askAgainMillis {
			a.askedAt = now
			a.tries++
			m.Wants = append(m.Wants, a.key)
		}
		kept = append(kept, a)
	}
	g.asks = kept
	if len(m.Wants) > 0 {
		g.post(m, g.pickPeers(1, "")...)
	}
}

func (g *Gossip) isAnswered(a ask) bool {
	_, isKnown := g.entries[a.key]
	return a.isAny && isKnown || g.knows(a.key, a.mark)
}

// pickPeers returns up to n random ones of the fingers and neighbours.
func (g *Gossip) pickPeers(n int, except string) []string {
	if g.isMoved {
		g.fingers = g.ring.Fingers(g.self, g.fingers)
		g.isMoved = false
	}
	peers := slices.Clone(g.fingers)
	for _, w := range g.watches {
		if !slices.Contains(peers, w.id) {
			peers = append(peers, w.id)
		}
	}
	peers = slices.DeleteFunc(peers, func(id string) bool { return id == except })
	g.random.Shuffle(len(peers), func(i, j int) {
		peers[i], peers[j] = peers[j], peers[i]
	})
	return peers[:min(n, len(peers))]
}
