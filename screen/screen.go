// Package screen is the admission control of the entry: it decides which
// requests to admit, by the admission thresholds of the gates of all services
// in a request's call chain.
//
// The status card of each gate lists the root routes that use its target, and
// the threshold for them. So a request is refused before any work is done for
// it, if a service deep in its call chain lacks the capacity for its calls.
package screen

import (
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/cutoff"
	"bergamotloom.example/divide"
	"bergamotloom.example/grade"
)

const (
	// staleMillis is the age of a gate's last status card beyond which its
	// threshold is ignored. Cards come ten times a second.
	staleMillis = 1000
	// cacheMillis is how long the admitted fractions of a grade are cached.
	cacheMillis = 50
	// utilizationSmoothingFactor is the weight of a new card in the EWMA of the
	// utilization: single cards of a target with few slots often show all in use.
	utilizationSmoothingFactor = 0.2
)

// Screen holds the thresholds of all gates. It's safe for use by multiple goroutines.
type Screen struct {
	mutex  sync.Mutex
	clock  clock.Clock
	divide *divide.Divide
	gates  map[string]gateState
	// roots counts, by service and root route, the gates whose cards list the root.
	roots map[string]map[uint32]int
	cache [grade.Count]cachedServices
}

type gateState struct {
	service string
	// requestsPerMilli is the capacity of the target, with all its slots in use.
	requestsPerMilli float64
	cutoff           cutoff.Cutoff
	// rateLimited says that there's a bound on the target's rate. utilization is the EWMA
	// of the fraction of its slots that are in use.
	rateLimited bool
	utilization float64
	// rootFractions holds the root routes that use the target, by the hashes of their names.
	rootFractions  map[uint32]float32
	lastSeenMillis int64
}

// cachedServices holds the admitted fractions of one grade by service.
type cachedServices struct {
	fractions      map[string]float64
	computedMillis int64
}

// New returns a screen that admits everything until it learns of thresholds. What is
// admitted of a grade in part is shared out by divide.
func New(c clock.Clock, divide *divide.Divide) *Screen {
	return &Screen{
		clock:  c,
		divide: divide,
		gates:  make(map[string]gateState),
		roots:  make(map[string]map[uint32]int),
	}
}

// Learn replaces the state of a node's gate with that in its latest status card.
func (s *Screen) Learn(c card.Card) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, known := s.gates[c.Peers]
	s.remove(c.Peers)
	if c.Target == "" || c.Stopping {
		return
	}
	runMillis := float64(max(c.RunMillis, 1))
	slots := c.UsableSlots(runMillis)
	utilization := float64(c.Running+c.Waiting) / slots
	if known {
		utilization = before.utilization + (utilization-before.utilization)*utilizationSmoothingFactor
	}
	g := gateState{
		service: c.Service, requestsPerMilli: slots / runMillis, cutoff: c.Threshold(),
		rateLimited: c.MaxRate() > 0, utilization: utilization,
		rootFractions: c.RootFractions, lastSeenMillis: s.clock.Now(),
	}
	s.gates[c.Peers] = g
	if s.roots[g.service] == nil {
		s.roots[g.service] = make(map[uint32]int)
	}
	for root := range g.rootFractions {
		s.roots[g.service][root]++
	}
}

// remove drops what is known of a gate.
func (s *Screen) remove(peer string) {
	s.forgetRoots(peer, s.gates[peer])
	delete(s.gates, peer)
}

// Forget removes a node that has left or is dead.
func (s *Screen) Forget(peer string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(peer)
}

// AdmittedFraction returns the fraction of the requests with this root
// route and grade that all services used by the root have capacity for.
func (s *Screen) AdmittedFraction(root string, g grade.Grade) float64 {
	_, fraction := s.scarce(root, g)
	return fraction
}

// TeamFraction is like AdmittedFraction, for the requests of one team.
func (s *Screen) TeamFraction(root, team string, g grade.Grade) float64 {
	service, fraction := s.scarce(root, g)
	return s.divide.Fraction(root, team, g, service, fraction)
}

// Admits reports whether to admit one request of a team.
func (s *Screen) Admits(root, team string, g grade.Grade) bool {
	service, fraction := s.scarce(root, g)
	return s.divide.Admits(root, team, g, service, fraction)
}

// scarce returns the service with the smallest admitted fraction for the root and grade,
// and that fraction. A service counts as used by the root if any of its gates lists it;
// then all its gates count.
func (s *Screen) scarce(root string, g grade.Grade) (service string, fraction float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	cached := &s.cache[g]
	if cached.fractions == nil || now-cached.computedMillis >= cacheMillis {
		*cached = cachedServices{s.computeFractions(g, now), now}
	}
	hash := card.Hash(root)
	fraction = 1
	for name, f := range cached.fractions {
		if s.roots[name][hash] > 0 && (f < fraction || f == fraction && f < 1 && name < service) {
			service, fraction = name, f
		}
	}
	return service, fraction
}

// computeFractions returns the admitted fraction of a grade at each service.
func (s *Screen) computeFractions(priority grade.Grade, now int64) map[string]float64 {
	services := make(map[string]*capacity)
	for peer, g := range s.gates {
		if now-g.lastSeenMillis > staleMillis {
			s.forgetRoots(peer, g)
			continue
		}
		c, ok := services[g.service]
		if !ok {
			c = &capacity{}
			services[g.service] = c
		}
		c.add(g, priority)
	}
	fractions := make(map[string]float64, len(services))
	for name, c := range services {
		if c.total > 0 {
			fractions[name] = c.admittedFraction()
		}
	}
	return fractions
}

// forgetRoots drops the roots that a stale gate listed. Its utilization is kept, in case
// that it's heard again.
func (s *Screen) forgetRoots(peer string, g gateState) {
	for root := range g.rootFractions {
		s.roots[g.service][root]--
	}
	g.rootFractions = nil
	s.gates[peer] = g
}
