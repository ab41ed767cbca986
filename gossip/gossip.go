// Package gossip is the protocol by which nodes know of one another and pass
// on what changes: members, their deaths, and versioned facts.
//
// Every node holds the record of every member and every fact. Nodes lie on a
// ring of hashed positions (package chord). Each sends a heartbeat to the next
// one, watches the one before it, and suspects it when it falls silent and
// nobody else reaches it either. A new entry is pushed in batches to a few
// random peers among its fingers; the hashes of recent entries
// ride on heartbeats, so that who missed one asks for it; and now and then two
// peers compare digests of all that they know (package digest) and exchange
// what differs.
//
// The protocol is pure: it reads the time from its clock, draws from a seeded
// source and hands messages to a function. Times between nodes are given as
// milliseconds that are left, never as points in time.
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

// Gossip is one node's part in the protocol. It has its own mutex: every
// method may be called by many goroutines, and from the callbacks too.
//
// The send function and the callbacks run without the mutex, one at a time
// and in order, on a goroutine that is inside a method. None may block.
type Gossip struct {
	// OnMember is told each record that changed, of any member. It's set
	// before the first Tick.
	OnMember func(m member.Member)
	// OnFact is told each fact that got a higher version. It's set before the
	// first Tick.
	OnFact func(key string, version int64, value []byte)

	mutex  sync.Mutex
	clock  clock.Clock
	random *rand.Rand
	send   func(to string, message []byte)

	self    string
	life    int64
	entries map[uint64]*entry
	leaves  [digest.LeafCount][]*entry
	tree    digest.Tree
	ring    chord.Ring
	// fingers are those before the ring moved, if it did.
	fingers []string
	isMoved bool
	words   map[string]string

	// fresh holds the entries to be pushed, again those for the next round.
	fresh  []*entry
	again  []*entry
	recent []*entry
	seen   map[uint64]int64
	asks   []ask

	watches []watch
	doubts  []watch

	settled bool
	joins   []string
	round   uint32
	// walking says that the node's own walk hasn't ended, partial that it
	// doesn't cover all that differs; streak counts walks in a row.
	walking bool
	partial bool
	streak  int

	tickedAt  int64
	beatAt    int64
	walkAt    int64
	mergeAt   int64
	sweptAt   int64
	heardAt   int64
	busyUntil int64
	badCount  int64
	outbox    []func()
	draining  bool
	sentCount int64
	sentBytes int64
}

// New returns the part of the node that self describes; its ID is its peer
// address, and its Incarnation the node's start time. Send must not block and
// may lose messages; it doesn't own the bytes, which several calls share.
func New(
	self member.Member, c clock.Clock, seed uint64, send func(to string, message []byte),
) *Gossip {
	g := &Gossip{
		clock:    c,
		random:   rand.New(rand.NewPCG(seed, keyOfMember(self.ID))),
		send:     send,
		self:     self.ID,
		life:     self.Incarnation,
		entries:  make(map[uint64]*entry),
		words:    make(map[string]string),
		seen:     make(map[uint64]int64),
		tickedAt: c.Now(),
	}
	// Nodes that start together don't act in step.
	g.beatAt = c.Now() - g.random.Int64N(beatMillis)
	g.walkAt = c.Now() - g.random.Int64N(compareMillis)
	g.mergeAt = c.Now() + g.random.Int64N(mergeMillis)
	self.Serial = max(self.Serial, 1)
	g.storeMember(self, 0, true)
	return g
}

// Tick does what is due; it's called every 100 ms or so. A longer gap tells
// the node that it was paused: it isn't settled then until it has caught up.
func (g *Gossip) Tick() {
	g.mutex.Lock()
	defer g.finish()
	now := g.clock.Now()
	g.noticePause(now)
	g.sweep(now)
	g.beat(now)
	g.watchOver(now)
	g.compare(now)
	g.askAgain(now)
	g.push()
}

// Receive takes a message that came from a peer. Bytes that aren't a message
// are counted and otherwise ignored.
func (g *Gossip) Receive(from string, text []byte) {
	g.mutex.Lock()
	defer g.finish()
	m, err := decode(text)
	if err != nil || from == g.self || from == "" {
		g.badCount++
		return
	}
	g.handle(from, m)
}

// Members returns all members that aren't proved dead, this node included, in
// the order of their IDs. Suspects are among them and marked as such.
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

// Member returns the record of a member, dead ones included.
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

// Update changes the node's own record and spreads it. To say goodbye, return
// the record WithDead and call Tick once more before the process ends.
func (g *Gossip) Update(change func(member.Member) member.Member) {
	g.mutex.Lock()
	defer g.finish()
	old := g.entries[keyOfMember(g.self)].member
	if g.isEnded() {
		return
	}
	m := change(old)
	m.ID = old.ID
	m.Incarnation = old.Incarnation
	m.Serial = old.Serial + 1
	g.storeMember(m, 0, true)
}

// Learn takes a record from the table. One that is older than what is known
// changes nothing.
func (g *Gossip) Learn(m member.Member) {
	g.mutex.Lock()
	defer g.finish()
	g.applyMember(m, rememberMillis, false)
}

// Join asks the peer at this address for all that it knows, again and again
// until the node is settled. Several peers are asked in turn.
func (g *Gossip) Join(peer string) {
	g.mutex.Lock()
	defer g.finish()
	if peer == g.self || slices.Contains(g.joins, peer) {
		return
	}
	g.joins = append(g.joins, peer)
	g.settled = false
	g.walkAt = 0
}

// ConfirmDead takes the proof that an incarnation is dead: its address refused a
// connection. Silence is no proof.
func (g *Gossip) ConfirmDead(id string, incarnation int64) {
	g.mutex.Lock()
	defer g.finish()
	e, ok := g.entries[keyOfMember(id)]
	if !ok || id == g.self || e.member.Incarnation != incarnation || e.member.Dead {
		return
	}
	g.storeMember(e.member.WithDead(), rememberMillis, true)
}

// Suspect takes the hint that a member doesn't answer. It's probed at once,
// also by way of others, and suspected if nobody reaches it.
func (g *Gossip) Suspect(id string) {
	g.mutex.Lock()
	defer g.finish()
	g.doubt(id)
}

// Publish spreads a fact to all nodes. A version that isn't higher than the
// known one changes nothing, and so does a value over MaxValueBytes; the
// result tells whether the fact was taken.
func (g *Gossip) Publish(key string, version int64, value []byte) bool {
	return g.PublishFor(key, version, value, 0)
}

// PublishFor spreads a fact that is forgotten everywhere after ttlMillis, or
// never if that is 0. Once it's forgotten, any version is new again.
func (g *Gossip) PublishFor(key string, version int64, value []byte, ttlMillis int64) bool {
	g.mutex.Lock()
	defer g.finish()
	if len(value) > MaxValueBytes || ttlMillis < 0 {
		return false
	}
	return g.applyFact(fact{key: key, version: version, value: value}, ttlMillis, true)
}

// Fact returns the highest version known of a fact, and its value.
func (g *Gossip) Fact(key string) (version int64, value []byte, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	e, ok := g.entries[keyOfFact(key)]
	if !ok || e.expired(g.clock.Now()) {
		return 0, nil, false
	}
	return e.fact.version, e.fact.value, true
}

// Facts returns the keys of all facts with the prefix, in order.
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

// Synced tells whether the node has compared all that it knows with a peer
// since it started or was last paused. A node that knows no other is settled.
func (g *Gossip) Synced() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	paused := g.clock.Since(g.tickedAt) >= pauseMillis
	return g.settled && !paused
}

// ConfirmedDead tells whether peers hold proof that this incarnation is dead, or know
// a newer one on its address. The node must drop all that it holds on behalf
// of the fleet, and may come back with Restart.
func (g *Gossip) ConfirmedDead() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.isEnded()
}

// Restart begins a new life on the same address. An incarnation that isn't
// higher than the one known changes nothing.
func (g *Gossip) Restart(incarnation int64) bool {
	g.mutex.Lock()
	defer g.finish()
	old := g.entries[keyOfMember(g.self)].member
	if incarnation <= old.Incarnation {
		return false
	}
	g.life = incarnation
	g.settled = false
	g.storeMember(old.WithIncarnation(incarnation), 0, true)
	return true
}

// LastSeenMillis returns when a message last came from any peer, by the
// node's clock; 0 if none ever came.
func (g *Gossip) LastSeenMillis() int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.heardAt
}

// MalformedMessages returns how many messages couldn't be understood.
func (g *Gossip) MalformedMessages() int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.badCount
}

// Sent returns how many messages, and bytes in them, were handed to send.
func (g *Gossip) Sent() (messages, bytes int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.sentCount, g.sentBytes
}

func (g *Gossip) isEnded() bool {
	m := g.entries[keyOfMember(g.self)].member
	return m.Dead || m.Incarnation != g.life
}

// post encodes a message and puts it in the outbox for each receiver.
func (g *Gossip) post(m message, to ...string) {
	m.Incarnation = g.life
	text := encode(m)
	for _, id := range to {
		g.sentCount++
		g.sentBytes += int64(len(text))
		g.outbox = append(g.outbox, func() { g.send(id, text) })
	}
}

// finish hands out what the caller's method put in the outbox and unlocks. If
// another goroutine is at it already, that one goes on with the new things.
func (g *Gossip) finish() {
	defer g.mutex.Unlock()
	if g.draining {
		return
	}
	g.draining = true
	for len(g.outbox) > 0 {
		work := g.outbox
		g.outbox = nil
		g.handOut(work)
	}
	g.draining = false
}

func (g *Gossip) handOut(work []func()) {
	g.mutex.Unlock()
	defer g.mutex.Lock()
	for _, do := range work {
		do()
	}
}
