// Package screen decides at the entry which requests to let in, by the
// thresholds of all targets that they will need.
//
// Each gate tells for which roots its target works and how much of them it can
// take. So a request is refused before any work, if a service deep in its
// chain couldn't take its calls.
package screen

import (
	"math/rand/v2"
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
)

const (
	// staleMillis is how old a threshold may be that counts.
	staleMillis = 1000
	// cacheMillis is for how long a share is used before it's worked out again.
	cacheMillis = 50
)

// Screen holds the thresholds of all gates. It's safe for many goroutines.
type Screen struct {
	mutex  sync.Mutex
	clock  clock.Clock
	random *rand.Rand
	gates  map[string]gate
	shares map[key]share
}

type gate struct {
	service string
	slots   float64
	cutoff  cutoff.Cutoff
	uses    map[uint32]float32
	heardAt int64
}

type key struct {
	root  uint32
	grade grade.Grade
}

type share struct {
	part float64
	at   int64
}

// New returns a screen that lets everything in.
func New(c clock.Clock, seed uint64) *Screen {
	return &Screen{
		clock:  c,
		random: rand.New(rand.NewPCG(seed, seed+1)),
		gates:  make(map[string]gate),
		shares: make(map[key]share),
	}
}

// Learn takes in the newest card of a node.
func (s *Screen) Learn(c card.Card) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if c.Target == "" || c.Stopping {
		delete(s.gates, c.Peers)
		return
	}
	speed := float64(max(c.Limit, 1)) / float64(max(c.RunMillis, 1))
	s.gates[c.Peers] = gate{service: c.Service, slots: speed, cutoff: c.Threshold(), uses: c.Uses, heardAt: s.clock.Now()}
}

// Forget drops a node that's gone.
func (s *Screen) Forget(peer string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.gates, peer)
}

// Share returns the part of the requests by this root and of this grade that
// the services behind it can take.
func (s *Screen) Share(root string, r grade.Grade) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.share(root, r)
}

// Admits draws whether to let a request in.
func (s *Screen) Admits(root string, r grade.Grade) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	part := s.share(root, r)
	return part >= 1 || s.random.Float64() < part
}

func (s *Screen) share(root string, r grade.Grade) float64 {
	k := key{card.Hash(root), r}
	now := s.clock.Now()
	if known, ok := s.shares[k]; ok && now-known.at < cacheMillis {
		return known.part
	}
	part := s.compute(k, now)
	s.shares[k] = share{part, now}
	return part
}

// compute returns the least share of the services that the root uses. A
// service's share is the mean of its gates', by what each gets done.
func (s *Screen) compute(k key, now int64) float64 {
	type sums struct {
		share, slots float64
		used         bool
	}
	services := make(map[string]*sums)
	for _, g := range s.gates {
		if now-g.heardAt > staleMillis {
			continue
		}
		sum, ok := services[g.service]
		if !ok {
			sum = &sums{}
			services[g.service] = sum
		}
		if _, used := g.uses[k.root]; used {
			sum.used = true
		}
		sum.share += g.cutoff.AdmittedFraction(k.grade) * g.slots
		sum.slots += g.slots
	}
	least := 1.0
	for _, sum := range services {
		if sum.used && sum.slots > 0 {
			least = min(least, sum.share/sum.slots)
		}
	}
	return least
}
