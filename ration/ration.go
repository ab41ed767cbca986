// Package ration keeps teams within their rate and burst over all nodes.
//
// Each node counts what it lets in and tells the others; the counts only grow,
// so that lost and repeated messages do no harm. Every node runs the same token
// bucket over the sum of all counts. What other nodes let in since they were
// last heard isn't known, so near the limit each node lets in only the part of
// what is asked that the rate allows.
package ration

import (
	"maps"
	"math/rand/v2"
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/team"
)

const (
	millisPerSecond = 1000
	// lagMillis is how old the counts of others are, at most on a calm day.
	lagMillis = 250
	// steadyMillis is the time in which a bucket near its end is brought back
	// there.
	steadyMillis = 400
	// unheardMillis is the time after a start that nothing is let in for, as
	// the other nodes aren't heard yet.
	unheardMillis = 250
	// askSmoothing is the weight of a new count in the mean rate of asks.
	askSmoothing = 0.2
	// silentMillis is after how long a node counts as silent, reserveMillis for
	// how long its part of the rates is left to it.
	silentMillis  = 1000
	reserveMillis = 30_000
	// nearPart of its burst left brings a team's counts into each card; tellAll
	// is in which of how many cards all counts are.
	nearPart = 0.7
	tellAll  = 8
	// sameStartMillis is by how much earlier a node may have started than this one
	// and still count as one of the same start, all of whose counts are new:
	// longer than a fleet takes to start, and less than a team's burst lasts.
	sameStartMillis = 3000
	// leastAsks is the rate below which a team isn't spoken of.
	leastAsks = 0.05
	// mostRetryMillis bounds Retry-After.
	mostRetryMillis = 2000
)

// Ration decides on the requests of all teams at one node. It's safe for many
// goroutines.
type Ration struct {
	mutex  sync.Mutex
	clock  clock.Clock
	random *rand.Rand
	// startedAt is when the node was made, by its clock.
	startedAt int64
	told      int
	full      bool
	// part of the rates may be used by those that this node hears.
	part  float64
	teams map[uint32]*account
	peers map[string]*peer
}

// account is what the node knows of one team.
type account struct {
	rate  float64
	burst float64
	// level is the number of tokens left; it's below zero after more was let
	// in than there was.
	level    float64
	filledAt float64
	admitted int64
	// part of the rate and burst is for those that the node hears.
	part float64
	// asked counts requests since the last tick, asks is their mean rate.
	asked int64
	asks  float64
}

// peer is what another node has said last.
type peer struct {
	incarnation int64
	admitted    map[uint32]int64
	asks        map[uint32]float32
	heardAt     int64
	// older says that the node let requests in before this one was there: the
	// first count of each team is none of this node's. Cards don't hold all teams.
	older bool
	// stopping says that it stops as planned, so nothing is left to it later.
	stopping bool
}

// New returns an empty ration. Full tells that the fleet starts for the first
// time; otherwise a burst may have been used just before, and buckets start
// empty.
func New(c clock.Clock, full bool, seed uint64) *Ration {
	return &Ration{
		clock:     c,
		random:    rand.New(rand.NewPCG(seed, seed+2)),
		startedAt: c.Now(),
		full:      full,
		part:      1,
		teams:     make(map[uint32]*account),
		peers:     make(map[string]*peer),
	}
}

// SetTeams puts the rates of these teams in force. Teams without a rate aren't
// limited.
func (q *Ration) SetTeams(teams []team.Team) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Fine()
	for _, t := range teams {
		a, ok := q.teams[card.Hash(t.Name)]
		if !ok {
			a = &account{filledAt: now, part: q.part}
			q.teams[card.Hash(t.Name)] = a
			a.level = -t.Rate * unheardMillis / millisPerSecond
			if q.full {
				a.level = t.Burst
			}
		}
		a.fill(now)
		a.rate, a.burst = t.Rate, t.Burst
		a.level = min(a.level, a.burst)
	}
	// Teams that come later have used nothing before.
	q.full = true
}

func (a *account) fill(now float64) {
	a.level = min(a.level+(now-a.filledAt)*a.rate*a.part/millisPerSecond, a.burst*a.part)
	a.filledAt = now
}

// ownPart returns the part of the rates that this node and those that it hears
// may use. A silent node may be cut off and serve on, so its part is left to
// it for a while, unless it stopped as planned; a node that hears few of the
// others keeps to its own part.
func (q *Ration) ownPart() float64 {
	now := q.clock.Now()
	heard, silent := 1, 0
	for _, p := range q.peers {
		switch passed := now - p.heardAt; {
		case passed <= silentMillis:
			heard++
		case passed <= reserveMillis && !p.stopping:
			silent++
		}
	}
	if heard <= silent {
		return 1 / float64(heard+silent)
	}
	return float64(heard) / float64(heard+silent)
}

// Admit takes one request of the team. If it's over its rate, ok is false and
// retryMillis tells when there may be room.
func (q *Ration) Admit(name string) (retryMillis int64, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	a, ok := q.teams[card.Hash(name)]
	if !ok || a.rate <= 0 {
		return 0, true
	}
	a.asked++
	a.part = q.part
	a.fill(q.clock.Fine())
	if !q.admits(card.Hash(name), a) {
		wait := (1 - a.level) * millisPerSecond / a.rate
		return min(max(int64(wait), lagMillis), mostRetryMillis), false
	}
	a.admitted++
	a.level--
	return 0, true
}

// admits tells whether there's a token for one request more. What was let in
// elsewhere since the counts were told isn't known; if that could be all that's
// left, only a part of what is asked is let in, so that the bucket stays about
// empty.
func (q *Ration) admits(team uint32, a *account) bool {
	asks := a.asks
	now := q.clock.Now()
	for _, p := range q.peers {
		if now-p.heardAt > silentMillis {
			continue
		}
		asks += float64(p.asks[team])
	}
	if a.level >= 1+asks*lagMillis/millisPerSecond {
		return true
	}
	part := (a.rate*a.part + a.level*millisPerSecond/steadyMillis) / max(asks, 1)
	return q.random.Float64() < part
}

// Learn takes in the newest card of another node.
func (q *Ration) Learn(c card.Card) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	p, ok := q.peers[c.Peers]
	if !ok {
		p = &peer{incarnation: c.Incarnation, older: c.UpMillis > q.clock.Now()-q.startedAt+sameStartMillis}
		q.peers[c.Peers] = p
	}
	if c.Incarnation != p.incarnation {
		p.incarnation, p.admitted, p.older = c.Incarnation, nil, false
	}
	p.stopping = c.Stopping
	now := q.clock.Fine()
	for team, count := range c.Admitted {
		before, known := p.admitted[team]
		if !known && p.older {
			// The bucket began after that.
			continue
		}
		if more := count - before; more > 0 {
			if a, ok := q.teams[team]; ok {
				a.fill(now)
				a.level -= float64(more)
			}
		}
	}
	// A card leaves out what hardly matters; what was said before holds on.
	admitted, asks := maps.Clone(p.admitted), maps.Clone(p.asks)
	if admitted == nil {
		admitted = make(map[uint32]int64)
	}
	if asks == nil {
		asks = make(map[uint32]float32)
	}
	for team, count := range c.Admitted {
		admitted[team] = max(count, admitted[team])
		asks[team] = c.Asked[team]
	}
	p.admitted, p.asks = admitted, asks
	p.heardAt = q.clock.Now()
}

// Forget drops a node that's gone.
func (q *Ration) Forget(id string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if p, ok := q.peers[id]; ok {
		// Its counts stay: it may come back.
		p.asks = nil
	}
}

// Tick updates the rates of asks after millis since the last tick.
func (q *Ration) Tick(millis float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.part = q.ownPart()
	for _, a := range q.teams {
		rate := float64(a.asked) * millisPerSecond / millis
		a.asks += (rate - a.asks) * askSmoothing
		a.asked = 0
	}
}

// Describe adds the counts and rates to the node's card: those of teams that
// come near their limit, and of all teams now and then.
func (q *Ration) Describe(c card.Card) card.Card {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	c.UpMillis = q.clock.Now() - q.startedAt
	c.Admitted = make(map[uint32]int64)
	c.Asked = make(map[uint32]float32)
	q.told++
	all := q.told%tellAll == 0
	for t, a := range q.teams {
		if a.rate <= 0 || a.admitted == 0 && a.asks < leastAsks {
			continue
		}
		if all || a.level < nearPart*a.burst {
			c.Admitted[t] = a.admitted
			if a.asks >= leastAsks {
				c.Asked[t] = float32(a.asks)
			}
		}
	}
	return c
}
