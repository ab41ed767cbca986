// Package split deals the requests of a route out to its parts by weight.
package split

import (
	"math/rand/v2"
	"sync"

	"bergamotloom.example/part"
	"bergamotloom.example/route"
)

// Split deals in turn, so that the shares are exact also over few requests. It
// starts anew when a route's weights change. It's safe for many goroutines.
type Split struct {
	mutex  sync.Mutex
	random *rand.Rand
	routes map[string]*deal
}

// deal is where one route stands.
type deal struct {
	parts []part.Part
	// credit grows by a part's share with each request, and falls by one when
	// the part gets it.
	credit []float64
}

// New returns a split that begins each route at a random part, so that nodes
// aren't in step.
func New(seed uint64) *Split {
	return &Split{random: rand.New(rand.NewPCG(seed, seed+4)), routes: make(map[string]*deal)}
}

// Next returns the service that shall run the next request of the route.
func (s *Split) Next(r route.Route) string {
	if len(r.Parts) == 0 {
		return r.Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d, ok := s.routes[r.Name]
	if !ok || !same(d.parts, r.Parts) {
		d = &deal{parts: r.Parts, credit: make([]float64, len(r.Parts))}
		for i := range d.credit {
			d.credit[i] = s.random.Float64() - 0.5
		}
		s.routes[r.Name] = d
	}
	return d.next()
}

func (d *deal) next() string {
	sum := 0.0
	for _, p := range d.parts {
		sum += p.Weight
	}
	best := 0
	for i, p := range d.parts {
		if sum > 0 {
			d.credit[i] += p.Weight / sum
		}
		if d.credit[i] > d.credit[best] {
			best = i
		}
	}
	d.credit[best]--
	return d.parts[best].Service
}

func same(a, b []part.Part) bool {
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
