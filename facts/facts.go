// Package facts spreads facts by the nodes' cards: each card carries the latest
// facts of its node for some time, and each node takes in a fact once.
package facts

import (
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/fact"
)

// mostFacts bounds how many facts a card carries, as cards travel in datagrams
// many times a second. A new fact displaces the oldest.
const mostFacts = 8

// Facts holds what this node tells, and what it has taken in of others. It's
// safe for many goroutines.
type Facts struct {
	clock  clock.Clock
	onFact func(key string, value []byte)

	mutex sync.Mutex
	count int64
	own   []told
	// seen holds the number of the latest fact of each peer.
	seen map[string]taken
}

type told struct {
	fact  fact.Fact
	until int64
}

type taken struct {
	incarnation int64
	number      int64
}

// New returns facts that hand what peers tell to onFact.
func New(c clock.Clock, onFact func(key string, value []byte)) *Facts {
	return &Facts{clock: c, onFact: onFact, seen: make(map[string]taken)}
}

// Publish tells all nodes a fact for so long. Nodes take facts in by the order
// of their publishing, so the version isn't needed.
func (f *Facts) Publish(key string, _ int64, value []byte, ttlMillis int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.count++
	f.own = append(f.own, told{fact.Fact{Number: f.count, Key: key, Value: value}, f.clock.Now() + ttlMillis})
	if len(f.own) > mostFacts {
		f.own = f.own[1:]
	}
}

// Describe adds the node's facts to its card.
func (f *Facts) Describe(c card.Card) card.Card {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for _, t := range f.own {
		if now < t.until {
			c.Facts = append(c.Facts, t.fact)
		}
	}
	return c
}

// Learn takes in what the card of a peer tells for the first time.
func (f *Facts) Learn(c card.Card) {
	for _, told := range f.fresh(c) {
		f.onFact(told.Key, told.Value)
	}
}

func (f *Facts) fresh(c card.Card) []fact.Fact {
	if len(c.Facts) == 0 {
		return nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	seen := f.seen[c.Peers]
	if seen.incarnation != c.Incarnation {
		seen = taken{incarnation: c.Incarnation}
	}
	var fresh []fact.Fact
	for _, told := range c.Facts {
		if told.Number > seen.number {
			fresh = append(fresh, told)
			seen.number = told.Number
		}
	}
	f.seen[c.Peers] = seen
	return fresh
}

// Forget drops what is known of a peer.
func (f *Facts) Forget(peer string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.seen, peer)
}
