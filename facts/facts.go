// Package facts distributes facts with the status cards of the nodes: each card
// carries the latest facts of its node until they expire, and each node handles
// a fact once.
package facts

import (
	"slices"
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/fact"
)

// These bound the facts that a card carries, as cards are sent as datagrams many
// times a second. A further fact replaces the oldest ones of its kind, even if they
// haven't expired: there may be many without a value in a short time, which must
// not push out the others.
const (
	maxFacts      = 8
	maxValueFacts = 16
	maxValueBytes = 4 << 10
)

// Facts holds the facts that this node publishes, and which facts of its peers
// it has handled. It's safe for concurrent use.
type Facts struct {
	clock  clock.Clock
	onFact func(key string, value []byte)

	mutex sync.Mutex
	count int64
	own   []publishedFact
	// handled holds the position of the last handled fact, by the peer's address.
	handled map[string]position
}

type publishedFact struct {
	fact      fact.Fact
	expiresAt int64
}

// position is the number of a fact within an incarnation of its node.
type position struct {
	incarnation int64
	number      int64
}

// New returns facts that pass each new fact of a peer to onFact.
func New(c clock.Clock, onFact func(key string, value []byte)) *Facts {
	return &Facts{clock: c, onFact: onFact, handled: make(map[string]position)}
}

// Publish adds a fact to the node's cards for ttlMillis milliseconds. The second
// parameter, a version, is ignored: peers handle a node's facts in the order in
// which they were published.
func (f *Facts) Publish(key string, _ int64, value []byte, ttlMillis int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.count++
	f.own = append(f.own, publishedFact{fact.Fact{Number: f.count, Key: key, Value: value}, f.clock.Now() + ttlMillis})
	f.trim(func(r fact.Fact) bool { return len(r.Value) == 0 }, maxFacts, 0)
	f.trim(func(r fact.Fact) bool { return len(r.Value) > 0 }, maxValueFacts, maxValueBytes)
}

// trim removes expired facts, and the oldest ones of a kind while there are more
// than maxCount of it or their values have more than maxBytes. The latest one stays.
// The mutex must be held.
func (f *Facts) trim(isOfKind func(fact.Fact) bool, maxCount, maxBytes int) {
	now := f.clock.Now()
	count, size := 0, 0
	for i := len(f.own) - 1; i >= 0; i-- {
		p := f.own[i]
		if !isOfKind(p.fact) {
			continue
		}
		count++
		size += len(p.fact.Value)
		if now >= p.expiresAt || count > maxCount || size > maxBytes && count > 1 {
			f.own = slices.Delete(f.own, i, i+1)
		}
	}
}

// Describe adds the node's facts to its card.
func (f *Facts) Describe(c card.Card) card.Card {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for _, p := range f.own {
		if now < p.expiresAt {
			c.Facts = append(c.Facts, p.fact)
		}
	}
	return c
}

// Learn passes the facts on a peer's card that weren't handled before to onFact.
func (f *Facts) Learn(c card.Card) {
	for _, r := range f.newFacts(c) {
		f.onFact(r.Key, r.Value)
	}
}

func (f *Facts) newFacts(c card.Card) []fact.Fact {
	if len(c.Facts) == 0 {
		return nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	last := f.handled[c.Peers]
	if last.incarnation != c.Incarnation {
		last = position{incarnation: c.Incarnation}
	}
	var added []fact.Fact
	for _, r := range c.Facts {
		if r.Number > last.number {
			added = append(added, r)
			last.number = r.Number
		}
	}
	f.handled[c.Peers] = last
	return added
}

// Forget drops the state of the peer with this address.
func (f *Facts) Forget(peer string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.handled, peer)
}
