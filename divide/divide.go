// Package divide shares out what an entry admits of a grade that is admitted in part.
//
// Load condition: callers compete for insufficient capacity for seconds, as in a burst on
// one route or with teams of very different sizes. With the same fraction for every
// request, a team that sends many times its rate takes most of the capacity, and
// requests that need little of the scarce service are refused as often as those that need
// much of it.
//
// Admitted work is shared among teams by max-min fairness, weighted by their configured
// rates, and the part of each team among root routes, those that need less of the scarce
// service first. The total stays the same. Demand is that of all entries: each puts its
// own on its status card, so that all of them calculate with the same figures.
package divide

import (
	"math/rand/v2"
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/grade"
	"bergamotloom.example/team"
)

const (
	// cacheMillis is how long fractions are cached.
	cacheMillis = 50
	// idleMillis is the time without requests after which the state of a grade at a service,
	// or of a root and team, is dropped.
	idleMillis = 10_000
	// dividedMillis is how long after a request of a grade admitted in part the node
	// still puts the demand of teams on its cards.
	dividedMillis = 1000
)

// Divide decides which requests of one entry are admitted. It's safe for use by multiple
// goroutines.
type Divide struct {
	mutex  sync.Mutex
	clock  clock.Clock
	random *rand.Rand
	// teamRates holds the configured rates of teams, names the names of teams and roots,
	// both by the hashes of their names.
	teamRates map[uint32]float64
	names     map[uint32]string
	demand    demand
	work      work
	groups    map[groupKey]*group
	turns     map[request]*turn
	// lastDividedMillis is when a request of a grade admitted in part last came.
	lastDividedMillis int64
	// cardCount counts the cards for the node's own data centre and for others.
	cardCount [2]int
}

// request is what a decision depends on, with the hashes of the names.
type request struct {
	root, team uint32
	grade      grade.Grade
}

// New returns a Divide that knows of no teams and no demand, and so admits the same
// fraction of all requests of a grade.
func New(c clock.Clock, seed uint64) *Divide {
	return &Divide{
		clock: c, random: rand.New(rand.NewPCG(seed, seed+3)),
		teamRates: make(map[uint32]float64), names: make(map[uint32]string),
		demand: newDemand(), work: newWork(),
		groups: make(map[groupKey]*group), turns: make(map[request]*turn), lastDividedMillis: c.Now() - dividedMillis,
	}
}

// SetTeams sets the configured rates of all teams.
func (d *Divide) SetTeams(teams []team.Team) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.teamRates)
	for _, t := range teams {
		hash := card.Hash(t.Name)
		d.names[hash] = t.Name
		if t.Rate > 0 && t.Rate <= maxRate {
			d.teamRates[hash] = t.Rate
		}
	}
}

// Admits counts a request and reports whether to admit it. Even is the fraction (0 to 1)
// of the requests of its root and grade for which this service has capacity; the service
// is ignored if even is 1.
func (d *Divide) Admits(root, teamName string, g grade.Grade, service string, even float64) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	q := request{card.Hash(root), card.Hash(teamName), g}
	if _, ok := d.names[q.root]; !ok {
		d.names[q.root] = root
	}
	d.demand.recordArrival(q)
	if even < 1 {
		d.lastDividedMillis = d.clock.Now()
		fraction := d.fraction(q, service, even)
		if fraction < 1 && !d.takeTurn(q, d.group(service, g, even), fraction) {
			return false
		}
	}
	d.demand.recordAdmitted(q)
	return true
}

// Fraction returns the fraction (0 to 1) of such requests that is admitted.
func (d *Divide) Fraction(root, teamName string, g grade.Grade, service string, even float64) float64 {
	if even >= 1 {
		return 1
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fraction(request{card.Hash(root), card.Hash(teamName), g}, service, even)
}

// fraction returns the admitted fraction of a root and team where even is below 1.
func (d *Divide) fraction(q request, service string, even float64) float64 {
	s := d.group(service, q.grade, even)
	f, ok := s.fractions[q]
	if !ok {
		f = s.rootFraction(q.root, s.teamFraction(q.team, even))
		s.fractions[q] = f
	}
	return f
}

// Learn takes in the demand at another entry and the work at its gate. It reports whether
// it used all values; impossible ones count as missing.
func (d *Divide) Learn(c card.Card) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock.Now()
	demandUsed, workUsed := d.demand.learn(c, now), d.work.learn(c, now)
	return demandUsed && workUsed
}

// Forget removes a node that has left or is dead.
func (d *Divide) Forget(peer string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.demand.forget(peer)
	d.work.forget(peer)
}

// Describe returns the node's card with the demand at this entry added, for nodes in its
// own data centre or in others.
func (d *Divide) Describe(c card.Card, toRemote bool) card.Card {
	way := 0
	if toRemote {
		way = 1
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.cardCount[way]++
	return d.demand.describe(c, d.cardCount[way], d.clock.Now()-d.lastDividedMillis < dividedMillis)
}

// Tick updates the averages. It's called with the milliseconds since the last tick.
func (d *Divide) Tick(millis float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock.Now()
	d.demand.tick(now, millis)
	d.work.tick(now, millis, &d.demand)
	for k, s := range d.groups {
		if now-s.computedMillis > idleMillis {
			delete(d.groups, k)
		}
	}
	for k, t := range d.turns {
		if now-t.lastMillis > idleMillis {
			delete(d.turns, k)
		}
	}
}
