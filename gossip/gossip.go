// Package gossip is the protocol for membership, failure detection and the
// distribution of versioned facts among the nodes.
//
// Every node has the record of every member and every fact. Nodes are placed on
// a ring of hashed positions (package chord). Each sends heartbeats to its
// successor, watches its predecessor, and suspects it when it's silent and no
// other node reaches it either. A new entry is pushed in batches to a few random
// peers among the fingers. Heartbeats contain the hashes of recent entries, so
// that a node that missed one requests it. Periodically two peers compare digests
// of their whole state (package digest) and exchange the entries that differ.
//
// The protocol does no I/O: it reads the time from its clock, uses a seeded random
// source and passes messages to a function. Messages contain remaining times in
// milliseconds, never points in time.
package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"bergamotloom.example/chord"
	"bergamotloom.example/clock"
	"bergamotloom.example/digest"
	"bergamotloom.example/member"
)

// Gossip runs the protocol at one node. It's safe for concurrent use, and its
// methods may be called from the callbacks too.
//
// The send function and the callbacks are called without the mutex, one at a time
// and in order, by a goroutine that is inside a method. They must not block.
type Gossip struct {
	// OnMember is called with each changed record of any member. Set it before
	// the first Tick.
	OnMember func(m member.Member)
	// OnFact is called with each fact that got a higher version. Set it before the
	// first Tick.
	OnFact func(key string, version int64, value []byte)

	mutex  sync.Mutex
	clock  clock.Clock
	random *rand.Rand
	send   func(to string, message []byte)

	self        string
	incarnation int64
	entries     map[uint64]*entry
	leaves      [digest.LeafCount][]*entry
	tree        digest.Tree
	ring        chord.Ring
	// fingers are out of date while ringChanged is true.
	fingers     []string
	ringChanged bool
	interned    map[string]string

	// pushQueue holds the entries to be pushed, nextPushes those to be pushed again
	// after them.
	pushQueue     []*entry
	nextPushes    []*entry
	recent        []*entry
	superseded    map[uint64]int64
	entryRequests []entryRequest

	watched []watch
	// hinted are the members that were reported as unresponsive or whose suspicion
	// is being verified.
	hinted []watch

	synced       bool
	joinPeers    []string
	comparisonID uint32
	// comparing is true while a comparison that this node began is in progress,
	// partial if it doesn't cover all differences; consecutiveComparisons counts
	// comparisons without a pause between them.
	comparing              bool
	partial                bool
	consecutiveComparisons int

	tickedAt           int64
	heartbeatAt        int64
	comparedAt         int64
	nextSuspectCompare int64
	expiryCheckedAt    int64
	lastSeenMillis     int64
	backlogUntil       int64
	malformed          int64
	outbox             []func()
	delivering         bool
	sentCount          int64
	sentBytes          int64
}

// New returns the Gossip of the node that self describes. Its ID is the node's peer
// address, its Incarnation the node's start time. Send must not block and may
// lose messages; it must not change the message, which several calls share.
func New(
	self member.Member, c clock.Clock, seed uint64, send func(to string, message []byte),
) *Gossip {
	g := &Gossip{
		clock:       c,
		random:      rand.New(rand.NewPCG(seed, keyOfMember(self.ID))),
		send:        send,
		self:        self.ID,
		incarnation: self.Incarnation,
		entries:     make(map[uint64]*entry),
		interned:    make(map[string]string),
		superseded:  make(map[uint64]int64),
		tickedAt:    c.Now(),
	}
	// Random offsets keep nodes that start together from acting at the same
	// moments.
	g.heartbeatAt = c.Now() - g.random.Int64N(heartbeatMillis)
	g.comparedAt = c.Now() - g.random.Int64N(compareMillis)
	g.nextSuspectCompare = c.Now() + g.random.Int64N(suspectCompareMillis)
	self.Serial = max(self.Serial, 1)
	g.storeMember(self, 0, true)
	return g
}

// Tick runs the periodic tasks that are due; it's called about every 100 ms. A long
// gap between calls means that the process was paused: the node then isn't
// synced until it has compared its state with a peer.
func (g *Gossip) Tick() {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	now := g.clock.Now()
	g.detectPause(now)
	g.dropExpired(now)
	g.sendHeartbeat(now)
	g.checkWatched(now)
	g.compare(now)
	g.retryEntryRequests(now)
	g.push()
}

// Receive handles a message from a peer. Malformed messages are counted and
// otherwise ignored.
func (g *Gossip) Receive(from string, body []byte) {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	m, err := decode(body)
	if err != nil || from == g.self || from == "" {
		g.malformed++
		return
	}
	g.handle(from, m)
}

// Members returns all members that aren't dead, including this node, sorted by ID.
// Suspect members are included.
func (g *Gossip) Members() []member.Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var all []member.Member
	for _, e := range g.entries {
		if e.isMember() && !e.member.Dead {
			all = append(all, e.member)
		}
	}
	slices.SortFunc(all, func(a, b member.Member) int {
		return strings.Compare(a.ID, b.ID)
	})
	return all
}

// Member returns the record of a member, also of a dead one.
func (g *Gossip) Member(id string) (member.Member, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	e, ok := g.entries[keyOfMember(id)]
	if !ok {
		return member.Member{}, false
	}
	return e.member, true
}

// Self returns the node's own record.
func (g *Gossip) Self() member.Member {
	m, _ := g.Member(g.self)
	return m
}

// Update changes the node's own record and sends it to all nodes. Before the process
// ends, change should return the record with WithDead, and Tick be called once more
// to send it.
func (g *Gossip) Update(change func(member.Member) member.Member) {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	old := g.entries[keyOfMember(g.self)].member
	if g.isConfirmedDead() {
		return
	}
	m := change(old)
	m.ID = old.ID
	m.Incarnation = old.Incarnation
	m.Serial = old.Serial + 1
	g.storeMember(m, 0, true)
}

// Learn applies a record from the table. A record older than the stored one
// changes nothing.
func (g *Gossip) Learn(m member.Member) {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	g.applyMember(m, retentionMillis, false)
}

// Join compares the state with the peer at this address, repeatedly until the node
// is synced. Of several such peers, each comparison uses a random one.
func (g *Gossip) Join(peer string) {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	if peer == g.self || slices.Contains(g.joinPeers, peer) {
		return
	}
	g.joinPeers = append(g.joinPeers, peer)
	g.synced = false
	g.comparedAt = 0
}

// ConfirmDead records that an incarnation is confirmed dead: its address refused a
// connection. That a member is silent doesn't confirm that it's dead.
func (g *Gossip) ConfirmDead(id string, incarnation int64) {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	e, ok := g.entries[keyOfMember(id)]
	if !ok || id == g.self || e.member.Incarnation != incarnation || e.member.Dead {
		return
	}
	g.storeMember(e.member.WithDead(), retentionMillis, true)
}

// ReportUnresponsive takes the hint that a member doesn't respond. The member is
// probed at once, also through other nodes, and becomes suspect if no node reaches
// it.
func (g *Gossip) ReportUnresponsive(id string) {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	g.probeOnHint(id)
}

// Publish sends a fact to all nodes. A version that isn't higher than the known one
// or a value over MaxValueBytes (256 KiB) changes nothing; the result reports
// whether the fact was accepted.
func (g *Gossip) Publish(key string, version int64, value []byte) bool {
	return g.PublishFor(key, version, value, 0)
}

// PublishFor sends a fact that expires everywhere after ttlMillis, or never if that
// is 0. Once it has expired, any version is accepted again.
func (g *Gossip) PublishFor(key string, version int64, value []byte, ttlMillis int64) bool {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	if len(value) > MaxValueBytes || ttlMillis < 0 {
		return false
	}
	return g.applyFact(fact{key: key, version: version, value: value}, ttlMillis, true)
}

// Fact returns the highest known version of a fact and its value.
func (g *Gossip) Fact(key string) (version int64, value []byte, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	e, ok := g.entries[keyOfFact(key)]
	if !ok || e.expired(g.clock.Now()) {
		return 0, nil, false
	}
	return e.fact.version, e.fact.value, true
}

// Facts returns the sorted keys of all facts with the prefix.
func (g *Gossip) Facts(prefix string) []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	var keys []string
	for _, e := range g.entries {
		if !e.isMember() && strings.HasPrefix(e.fact.key, prefix) && !e.expired(now) {
			keys = append(keys, e.fact.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Synced reports whether the node has compared its whole state with a peer since it
// started or was last paused. A node that knows no other node is synced.
func (g *Gossip) Synced() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	paused := g.clock.Since(g.tickedAt) >= pauseMillis
	return g.synced && !paused
}

// IsSelfConfirmedDead reports whether peers have confirmed this incarnation dead, or
// know a newer one on its address. The node must drop all that it holds on behalf of the
// fleet, and may rejoin with Restart.
func (g *Gossip) IsSelfConfirmedDead() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.isConfirmedDead()
}

// Restart begins a new incarnation on the same address. An incarnation that isn't
// higher than the known one changes nothing, and Restart returns false.
func (g *Gossip) Restart(incarnation int64) bool {
	g.mutex.Lock()
	defer g.deliverAndUnlock()
	old := g.entries[keyOfMember(g.self)].member
	if incarnation <= old.Incarnation {
		return false
	}
	g.incarnation = incarnation
	g.synced = false
	g.storeMember(old.WithIncarnation(incarnation), 0, true)
	return true
}

// LastSeenMillis returns when the last message from any peer came, by the node's
// clock, or 0 if none ever came.
func (g *Gossip) LastSeenMillis() int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lastSeenMillis
}

// MalformedMessages returns the number of malformed messages received.
func (g *Gossip) MalformedMessages() int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.malformed
}

// Sent returns the number of messages passed to send and of the bytes in them.
func (g *Gossip) Sent() (messages, bytes int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.sentCount, g.sentBytes
}

func (g *Gossip) isConfirmedDead() bool {
	m := g.entries[keyOfMember(g.self)].member
	return m.Dead || m.Incarnation != g.incarnation
}

// post encodes a message and puts it into the outbox for each receiver.
func (g *Gossip) post(m message, to ...string) {
	m.Incarnation = g.incarnation
	body := encode(m)
	for _, id := range to {
		g.sentCount++
		g.sentBytes += int64(len(body))
		g.outbox = append(g.outbox, func() { g.send(id, body) })
	}
}

// deliverAndUnlock runs the calls in the outbox and unlocks. If another goroutine
// is running them already, that one runs the new calls too.
func (g *Gossip) deliverAndUnlock() {
	defer g.mutex.Unlock()
	if g.delivering {
		return
	}
	g.delivering = true
	for len(g.outbox) > 0 {
		work := g.outbox
		g.outbox = nil
		g.runCalls(work)
	}
	g.delivering = false
}

func (g *Gossip) runCalls(work []func()) {
	g.mutex.Unlock()
	defer g.mutex.Lock()
	for _, do := range work {
		do()
	}
}
