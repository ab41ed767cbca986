// Package ration limits the requests of each team, over all nodes together, to
// the team's rate and burst.
//
// Each node counts the requests that it admits and puts the counts in its
// status cards. The counts only grow, so lost and duplicate cards do no harm.
// Every node runs the same token bucket over the sum of all counts. What other
// nodes admitted since their last cards isn't known, so when few tokens are
// left, each node admits requests at random, with a probability close to the
// team's rate divided by its arrival rate.
package ration

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/team"
)

const (
	millisPerSecond = 1000
	// countLagMillis is the greatest age of the other nodes' counts while no
	// cards are late or lost. It's also the minimum Retry-After.
	countLagMillis = 250
	// correctionMillis is the time constant with which random admission steers
	// the number of tokens to zero.
	correctionMillis = 400
	// startDelayMillis is the time in which a new bucket, which starts overdrawn,
	// refills to 0 tokens. The node hasn't received cards of other nodes yet. It
	// doesn't apply to the first start of the fleet.
	startDelayMillis = 250
	// rateSmoothingFactor is the smoothing factor of the EWMA of request rates.
	rateSmoothingFactor = 0.2
	// silentMillis is the time without a card after which a node counts as silent.
	// Until reserveMillis without a card, its fraction of the rates is reserved for it.
	silentMillis  = 1000
	reserveMillis = 30_000
	// reservedDecayMillis is the time in which reserved tokens expire, unless there are
	// silent nodes that may use them. Cards with the counts of a node come in less.
	reservedDecayMillis = 1000
	// A team's count and request rate are in each card while requests arrive here, and in
	// the next changedCards cards, so that some of them may get lost. Otherwise they're
	// in one of rotationCards cards, or of hotRotationCards cards while the team has less
	// than hotFraction of its burst left.
	changedCards     = 4
	rotationCards    = 16
	hotRotationCards = 4
	hotFraction      = 0.7
	// sameStartMillis bounds the difference of the start times of nodes that start
	// together, all of whose counts are used. The counts of a node that started
	// earlier include requests from before this node's buckets, so the first count
	// of each team is ignored. The bound is longer than a fleet takes to start, and
	// shorter than the time in which a team uses up its burst.
	sameStartMillis = 3000
	// minReportedRate is the request rate, in requests per second, below which a
	// team's rate isn't put in the card.
	minReportedRate = 0.05
	// maxRetryAfterMillis bounds the Retry-After of a refusal.
	maxRetryAfterMillis = 2000
)

// Ration is the rate limiter of one node, for the requests of all teams. It's
// safe for use by multiple goroutines.
type Ration struct {
	mutex  sync.Mutex
	clock  clock.Clock
	random *rand.Rand
	// startMillis is when the node started, in milliseconds of its clock.
	startMillis int64
	// cardCount counts the cards of each way.
	cardCount [wayCount]int
	// fullBuckets says that new buckets aren't overdrawn at first.
	fullBuckets bool
	// usableFraction is the fraction of the rates for the nodes that aren't silent,
	// this one included.
	usableFraction float64
	teams          map[uint32]*teamBucket
	peers          map[string]*peer
}

// teamBucket is the token bucket and the arrival rate of one team.
type teamBucket struct {
	// rate is in requests per second.
	rate  float64
	burst float64
	// tokens is the number of tokens left. It's negative after more requests
	// were admitted than there were tokens.
	tokens float64
	// filledMillis is the time of the last fill.
	filledMillis float64
	// admitted counts the requests that this node admitted since its start.
	admitted int64
	// changedCard is the number of the last card of each way before which a request was
	// admitted or arrivalRate was at least minReportedRate.
	changedCard [wayCount]int
	// usableFraction is the Ration's usableFraction at its last tick.
	usableFraction float64
	// reserved is the number of tokens that silent nodes may have used meanwhile, as this
	// node and the others used only usableFraction of the rate. What they tell when
	// they're heard again is taken from it first.
	reserved float64
	// arrivals counts the requests since the last tick, arrivalRate is their
	// EWMA in requests per second.
	arrivals    int64
	arrivalRate float64
}

// peer is the state of another node according to its status cards.
type peer struct {
	incarnation    int64
	admitted       map[uint32]int64
	arrivalRates   map[uint32]float32
	lastSeenMillis int64
	// startedEarlier says that the node admitted requests before this one
	// started. Then the first count of each team is ignored, also if it isn't in
	// the node's first card, as not every card has the counts of all teams.
	startedEarlier bool
	// stopping says that the node stops as planned, so that none of the rates
	// are reserved for it later.
	stopping bool
	// caughtUp has the teams whose counts came since the node was last silent. It's nil
	// if the node never was.
	caughtUp map[uint32]bool
}

// New returns a rate limiter without teams. FirstStart says that the fleet
// starts for the first time. Otherwise the first buckets start overdrawn, as
// teams may have used their bursts just before the restart.
func New(c clock.Clock, firstStart bool, seed uint64) *Ration {
	return &Ration{
		clock:          c,
		random:         rand.New(rand.NewPCG(seed, seed+2)),
		startMillis:    c.Now(),
		fullBuckets:    firstStart,
		usableFraction: 1,
		teams:          make(map[uint32]*teamBucket),
		peers:          make(map[string]*peer),
	}
}

// SetTeams sets the rates and bursts of these teams. A team without a rate isn't
// limited.
func (q *Ration) SetTeams(teams []team.Team) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Fine()
	for _, t := range teams {
		a, ok := q.teams[card.Hash(t.Name)]
		if !ok {
			a = &teamBucket{filledMillis: now, usableFraction: q.usableFraction}
			q.teams[card.Hash(t.Name)] = a
			a.tokens = -t.Rate * startDelayMillis / millisPerSecond
			if q.fullBuckets {
				a.tokens = t.Burst
			}
		}
		// The burst of a new bucket is still 0 here, so fill leaves it with at most
		// 0 tokens, also if it was just given its burst.
		a.fill(now)
		a.rate, a.burst = t.Rate, t.Burst
		a.tokens = min(a.tokens, a.burst)
	}
	// Teams that are added later haven't used any of their burst.
	q.fullBuckets = true
}

// fill adds the tokens since the last fill, up to the usable fraction of the burst.
func (a *teamBucket) fill(now float64) {
	added := (now - a.filledMillis) * a.rate / millisPerSecond
	a.tokens = min(a.tokens+added*a.usableFraction, a.burst*a.usableFraction)
	a.reserved += added * (1 - a.usableFraction)
	a.filledMillis = now
}

// share sets the usable fraction of the rate, and lets reserved tokens expire that the
// nodes which are silent now can't have used.
func (a *teamBucket) share(usableFraction, now, millis float64) {
	// Nodes were silent before they counted as such.
	a.usableFraction = min(a.usableFraction, usableFraction)
	a.fill(now)
	a.usableFraction = usableFraction
	if excess := a.tokens - a.burst*usableFraction; excess > 0 {
		a.tokens -= excess
		a.reserved += excess
	}
	limit := (1 - usableFraction) * (a.rate*reserveMillis/millisPerSecond + a.burst)
	a.reserved = min(a.reserved, max(limit, a.reserved*(1-millis/reservedDecayMillis)))
}

// take takes the tokens of requests that another node admitted.
func (a *teamBucket) take(count float64, wasSilent bool) {
	if wasSilent {
		reserved := min(count, a.reserved)
		a.reserved -= reserved
		count -= reserved
	}
	a.tokens -= count
}

// computeUsableFraction returns the fraction of the rates for this node and the others
// that aren't silent. A silent node may be partitioned and still serve
// requests, so its fraction is reserved for a while, unless it stopped as planned.
// If at least half of the nodes are silent, this one may be the partitioned one
// and uses no more than its own fraction.
func (q *Ration) computeUsableFraction() float64 {
	now := q.clock.Now()
	active, silent := 1, 0
	for _, p := range q.peers {
		switch age := now - p.lastSeenMillis; {
		case age <= silentMillis:
			active++
		case age <= reserveMillis && !p.stopping:
			silent++
		}
	}
	if active <= silent {
		return 1 / float64(active+silent)
	}
	return float64(active) / float64(active+silent)
}

// Admit decides on one request of the team and counts it. If the team is over
// its rate, ok is false and retryAfterMillis estimates when there is a token again.
func (q *Ration) Admit(teamName string) (retryAfterMillis int64, ok bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	a, ok := q.teams[card.Hash(teamName)]
	if !ok || a.rate <= 0 {
		return 0, true
	}
	a.arrivals++
	a.fill(q.clock.Fine())
	if !q.hasToken(card.Hash(teamName), a) {
		wait := (1 - a.tokens) * millisPerSecond / a.rate
		return min(max(int64(wait), countLagMillis), maxRetryAfterMillis), false
	}
	a.admitted++
	for i := range a.changedCard {
		a.changedCard[i] = max(q.cardCount[i], 1)
	}
	a.tokens--
	return 0, true
}

// totalArrivalRate returns the rate at which requests of the team arrive at all nodes
// that aren't silent.
func (q *Ration) totalArrivalRate(teamHash uint32, a *teamBucket) float64 {
	sum := a.arrivalRate
	now := q.clock.Now()
	for _, p := range q.peers {
		if now-p.lastSeenMillis <= silentMillis {
			sum += float64(p.arrivalRates[teamHash])
		}
	}
	return sum
}

// hasToken reports whether there is a token for one more request. What other
// nodes admitted since their last counts isn't known. If the tokens left may be
// fewer than those requests, requests are admitted at random with a probability
// that keeps the number of tokens near zero.
func (q *Ration) hasToken(teamHash uint32, a *teamBucket) bool {
	arrivalRate := q.totalArrivalRate(teamHash, a)
	if a.tokens >= 1+arrivalRate*countLagMillis/millisPerSecond {
		return true
	}
	probability := (a.rate*a.usableFraction + a.tokens*millisPerSecond/correctionMillis) / max(arrivalRate, 1)
	return q.random.Float64() < probability
}

// State returns for logs what decides on requests of the team at present.
func (q *Ration) State(teamName string) string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	hash := card.Hash(teamName)
	a, ok := q.teams[hash]
	if !ok {
		return "no rate is known"
	}
	return fmt.Sprintf("%.1f of %.1f tokens, rate %.1f per second of which the fraction %.2f is usable, arriving %.1f per second",
		a.tokens, a.burst, a.rate, a.usableFraction, q.totalArrivalRate(hash, a))
}

// Learn updates the counts and rates of another node from its latest card.
func (q *Ration) Learn(c card.Card) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	p, ok := q.peers[c.Peers]
	if !ok {
		p = &peer{incarnation: c.Incarnation, startedEarlier: c.CountedMillis > q.clock.Now()-q.startMillis+sameStartMillis}
		q.peers[c.Peers] = p
	}
	if c.Incarnation != p.incarnation {
		p.incarnation, p.admitted, p.startedEarlier = c.Incarnation, nil, false
	}
	p.stopping = c.Stopping
	now := q.clock.Fine()
	if ok && q.clock.Now()-p.lastSeenMillis > silentMillis {
		p.caughtUp = make(map[uint32]bool)
	}
	for teamHash, count := range c.Admitted {
		wasSilent := p.caughtUp != nil && !p.caughtUp[teamHash]
		if wasSilent {
			p.caughtUp[teamHash] = true
		}
		before, counted := p.admitted[teamHash]
		if !counted && p.startedEarlier {
			// These requests were admitted before this node's bucket began.
			continue
		}
		if added := count - before; added > 0 {
			if a, ok := q.teams[teamHash]; ok {
				a.fill(now)
				a.take(float64(added), wasSilent)
			}
		}
	}
	// A card leaves out teams far from their limit; the values of earlier cards
	// stay valid for them.
	admitted, arrivalRates := maps.Clone(p.admitted), maps.Clone(p.arrivalRates)
	if admitted == nil {
		admitted = make(map[uint32]int64)
	}
	if arrivalRates == nil {
		arrivalRates = make(map[uint32]float32)
	}
	for teamHash, count := range c.Admitted {
		admitted[teamHash] = max(count, admitted[teamHash])
		arrivalRates[teamHash] = c.DemandRates[teamHash]
	}
	p.admitted, p.arrivalRates = admitted, arrivalRates
	p.lastSeenMillis = q.clock.Now()
}

// Forget drops the request rates of a node that has left or is dead.
func (q *Ration) Forget(peer string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if p, ok := q.peers[peer]; ok {
		// The counts are kept, as the node may come back.
		p.arrivalRates = nil
	}
}

// Tick updates the request rates. It's called with the milliseconds since the
// last tick.
func (q *Ration) Tick(millis float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.usableFraction = q.computeUsableFraction()
	now := q.clock.Fine()
	for _, a := range q.teams {
		a.share(q.usableFraction, now, millis)
		rate := float64(a.arrivals) * millisPerSecond / millis
		a.arrivalRate += (rate - a.arrivalRate) * rateSmoothingFactor
		a.arrivals = 0
	}
}

// Ways of cards. Nodes in other data centres get fewer cards than those in the node's
// own, so each way has its own count of them.
const (
	local = iota
	remote
	wayCount
)

// Describe returns the node's card with counts and request rates added, for nodes in
// the node's own data centre or in others.
func (q *Ration) Describe(c card.Card, toRemote bool) card.Card {
	way := local
	if toRemote {
		way = remote
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	c.CountedMillis = q.clock.Now() - q.startMillis
	c.Admitted = make(map[uint32]int64)
	c.DemandRates = make(map[uint32]float32)
	q.cardCount[way]++
	for t, a := range q.teams {
		if a.rate <= 0 || a.admitted == 0 && a.arrivals == 0 && a.changedCard[way] == 0 && a.arrivalRate < minReportedRate {
			continue
		}
		if a.arrivalRate >= minReportedRate {
			a.changedCard[way] = q.cardCount[way]
		}
		cycle := uint32(rotationCards)
		if a.tokens < hotFraction*a.burst {
			cycle = hotRotationCards
		}
		changed := a.changedCard[way] > 0 && q.cardCount[way]-a.changedCard[way] <= changedCards
		if changed || (uint32(q.cardCount[way])+t)%cycle == 0 {
			c.Admitted[t] = a.admitted
			if a.arrivalRate >= minReportedRate {
				c.DemandRates[t] = float32(a.arrivalRate)
			}
		}
	}
	return c
}
