// Package split distributes the requests of a route over services by the
// weights of the route's parts.
package split

import (
	"math/rand/v2"
	"sync"

	"bergamotloom.example/part"
	"bergamotloom.example/route"
)

// Split selects services by smooth weighted round robin, so that each
// service's fraction of the requests is close to its fraction of the weights even
// over a few requests. The state of a route is reset when its weights change. It's safe for use by multiple goroutines.
type Split struct {
	mutex  sync.Mutex
	random *rand.Rand
	routes map[string]*routeState
}

// routeState is the state of the round robin of one route.
type routeState struct {
	parts []part.Part
	// credit holds the current weight of each part: each request adds the part's
	// fraction of the weights, and selecting the part subtracts 1.
	credit []float64
}

// New returns a split. The initial credit of each part is random, between -0.5
// and 0.5, so that nodes don't select the same parts at the same time.
func New(seed uint64) *Split {
	return &Split{random: rand.New(rand.NewPCG(seed, seed+4)), routes: make(map[string]*routeState)}
}

// Next returns the service for the next request of the route. A route without
// parts goes to its service. If all weights are 0, the parts take turns.
func (s *Split) Next(r route.Route) string {
	if len(r.Parts) == 0 {
		return r.Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, ok := s.routes[r.Name]
	if !ok || !equalParts(state.parts, r.Parts) {
		state = &routeState{parts: r.Parts, credit: make([]float64, len(r.Parts))}
		for i := range state.credit {
			state.credit[i] = s.random.Float64() - 0.5
		}
		s.routes[r.Name] = state
	}
	return state.next()
}

// next returns the service of the part with the most credit.
func (r *routeState) next() string {
	sum := 0.0
	for _, p := range r.parts {
		sum += p.Weight
	}
	best := 0
	for i, p := range r.parts {
		if sum > 0 {
			r.credit[i] += p.Weight / sum
		}
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best]--
	return r.parts[best].Service
}

func equalParts(a, b []part.Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
