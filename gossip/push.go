package gossip

import "slices"

const (
	// pushCount is the number of random peers that a new entry is pushed to.
	// urgentPushes is how often an entry that excludes a member from instance
	// selection is pushed.
	pushCount    = 4
	urgentPushes = 2
	// backlogSize is the number of new entries above which the node pushes to
	// fewer peers; comparisons find what peers miss because of it.
	backlogSize      = 64
	backlogPushCount = 2
	// afterBacklogMillis is how long after a backlog the node compares more often.
	afterBacklogMillis = 10_000
	// batchBytes is the approximate max size of one batch of entries.
	batchBytes = 16 << 10
	// inlineBytes is the max size of a value that is pushed itself. Of larger ones
	// only the hashes are pushed, and peers without the entry request it.
	inlineBytes = 256
	// recentCount bounds the recent entries that one heartbeat lists.
	recentCount = 32
	// entryTimeoutMillis is the timeout of a request for an entry before another
	// peer is asked; maxEntryRetries bounds the retries, maxEntryRequests the
	// number of pending requests.
	entryTimeoutMillis = 200
	maxEntryRetries    = 3
	maxEntryRequests   = 256
	// memberBytes and factBytes are the approximate encoded sizes of a record
	// without its strings.
	memberBytes = 40
	factBytes   = 24
)

// handle handles all parts of a message and sends the response, if any.
func (g *Gossip) handle(from string, m message) {
	var response message
	isMissing, needsOwnRecord := g.markSeen(from, m.Incarnation)
	g.storeReceived(m)
	if isMissing {
		g.requestEntry(&response, entryRequest{key: keyOfMember(from), isAny: true})
	}
	if needsOwnRecord {
		g.addEntry(&response, g.entries[keyOfMember(from)])
	}
	if m.Probe != nil {
		response.Probe = g.handleProbe(from, *m.Probe)
	}
	if m.Recent != nil {
		g.requestMissing(&response, *m.Recent)
	}
	g.addEntries(&response, m.Wants, batchBytes)
	if m.Comparison != nil {
		g.handleComparison(from, &response, *m.Comparison)
	}
	if !response.isEmpty() {
		g.post(response, from)
	}
}

func (m message) isEmpty() bool {
	return m.Probe == nil && m.Comparison == nil &&
		len(m.Wants) == 0 && len(m.Members) == 0 && len(m.Facts) == 0
}

// storeReceived stores the entries of a message. Those that come from a comparison
// before the node is synced are known to other nodes already and aren't pushed.
func (g *Gossip) storeReceived(m message) {
	push := g.synced || m.Comparison == nil
	for _, w := range m.Members {
		g.applyMember(w.member(), w.LeftMillis, push)
	}
	for _, w := range m.Facts {
		g.storeReceivedFact(w, push)
	}
}

func (g *Gossip) storeReceivedFact(w wireFact, push bool) {
	_, known := g.entries[keyOfFact(w.Key)]
	isExpiring := w.LeftMillis > 0 && w.LeftMillis <= minLeftMillis
	if !known && isExpiring || len(w.Value) > MaxValueBytes {
		return
	}
	f := fact{key: w.Key, version: w.Version, value: w.Value}
	g.applyFact(f, max(w.LeftMillis, 0), push)
}

// push sends a batch of new entries to a few random peers.
func (g *Gossip) push() {
	if len(g.pushQueue) == 0 {
		g.pushQueue, g.nextPushes = g.nextPushes, nil
	}
	if len(g.pushQueue) == 0 {
		return
	}
	hasBacklog := len(g.pushQueue) > backlogSize
	m, size := g.nextBatch()
	if size == 0 {
		return
	}
	count := pushCount
	if hasBacklog {
		count = backlogPushCount
		g.backlogUntil = g.clock.Now() + afterBacklogMillis
	}
	if peers := g.pickPeers(count, ""); len(peers) > 0 {
		g.post(m, peers...)
	}
}

// nextBatch takes new entries from the queue up to the size of a batch, and returns
// their approximate size.
func (g *Gossip) nextBatch() (m message, size int) {
	for len(g.pushQueue) > 0 && size < batchBytes {
		e := g.pushQueue[0]
		g.pushQueue = g.pushQueue[1:]
		if e.dropped {
			continue
		}
		size += g.addToPush(&m, e)
		e.pushes++
		if e.isUrgent() && e.pushes < urgentPushes {
			g.nextPushes = append(g.nextPushes, e)
		}
	}
	return m, size
}

func (e *entry) isUrgent() bool {
	return e.isMember() && (isSuspectOrDead(e.member) || e.member.Leaving)
}

func (g *Gossip) addToPush(m *message, e *entry) int {
	if len(e.fact.value) <= inlineBytes {
		return g.addEntry(m, e)
	}
	if m.Recent == nil {
		m.Recent = &hashList{}
	}
	m.Recent.add(e)
	return factBytes
}

// addEntry adds an entry to a message and returns its approximate size.
func (g *Gossip) addEntry(m *message, e *entry) int {
	left := e.leftMillis(g.clock.Now())
	if e.isMember() {
		m.Members = append(m.Members, toWire(e.member, left))
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

// addEntries adds the wanted entries to a message up to about limit bytes, and
// reports whether all were added.
func (g *Gossip) addEntries(m *message, keys []uint64, limit int) bool {
	size := 0
	for _, k := range keys {
		if size >= limit {
			return false
		}
		if e, ok := g.entries[k]; ok {
			size += g.addEntry(m, e)
		}
	}
	return true
}

// recentHashes returns the hashes of the newest entries, for peers that missed
// them.
func (g *Gossip) recentHashes(now int64) *hashList {
	var l hashList
	for i := len(g.recent) - 1; i >= 0 && len(l.Keys) < recentCount; i-- {
		e := g.recent[i]
		if now-e.changedAt >= recentMillis {
			break
		}
		if !e.dropped {
			l.add(e)
		}
	}
	if len(l.Keys) == 0 {
		return nil
	}
	return &l
}

// requestMissing requests the listed versions that the node neither has nor knows as
// superseded.
func (g *Gossip) requestMissing(m *message, l hashList) {
	for i, k := range l.Keys {
		if !g.knowsVersion(k, l.Marks[i]) {
			g.requestEntry(m, entryRequest{key: k, versionHash: l.Marks[i]})
		}
	}
}

func (g *Gossip) knowsVersion(key uint64, versionHash uint32) bool {
	if e, ok := g.entries[key]; ok && e.versionHash == versionHash {
		return true
	}
	_, ok := g.superseded[supersededKey(key, versionHash)]
	return ok
}

// entryRequest is a pending request for an entry.
type entryRequest struct {
	key         uint64
	versionHash uint32
	// isAny says that any version of the entry is accepted.
	isAny       bool
	requestedAt int64
	retries     int
}

// requestEntry adds a request for an entry to a message, unless the same one is
// pending.
func (g *Gossip) requestEntry(m *message, r entryRequest) {
	isPending := slices.ContainsFunc(g.entryRequests, func(o entryRequest) bool {
		return o.key == r.key && o.versionHash == r.versionHash
	})
	if isPending || len(g.entryRequests) >= maxEntryRequests {
		return
	}
	r.requestedAt = g.clock.Now()
	g.entryRequests = append(g.entryRequests, r)
	m.Wants = append(m.Wants, r.key)
}

// retryEntryRequests sends requests that got no response in time to another peer.
func (g *Gossip) retryEntryRequests(now int64) {
	var m message
	kept := g.entryRequests[:0]
	for _, r := range g.entryRequests {
		if g.isFulfilled(r) || r.retries >= maxEntryRetries {
			continue
		}
		if now-r.requestedAt >= entryTimeoutMillis {
			r.requestedAt = now
			r.retries++
			m.Wants = append(m.Wants, r.key)
		}
		kept = append(kept, r)
	}
	g.entryRequests = kept
	if len(m.Wants) > 0 {
		g.post(m, g.pickPeers(1, "")...)
	}
}

func (g *Gossip) isFulfilled(r entryRequest) bool {
	_, isKnown := g.entries[r.key]
	return r.isAny && isKnown || g.knowsVersion(r.key, r.versionHash)
}

// pickPeers returns up to n random peers among the fingers and watched members.
func (g *Gossip) pickPeers(n int, except string) []string {
	if g.ringChanged {
		g.fingers = g.ring.Fingers(g.self, g.fingers)
		g.ringChanged = false
	}
	peers := slices.Clone(g.fingers)
	for _, w := range g.watched {
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
