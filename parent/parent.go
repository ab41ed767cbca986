// Package parent finds the request for which a target makes a call, where the
// call carries no token of it.
//
// Targets name their calls after the request that they run: the call's identity
// is that of the request, a separator and a part of its own.
package parent

import (
	"strings"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/trip"
)

// Registry lists the requests that the target beside this node is running. It's
// safe for many goroutines.
type Registry struct {
	clock     clock.Clock
	separator string
	mutex     sync.Mutex
	runs      map[string]run
}

type run struct {
	trip  trip.Trip
	began float64
}

// New returns an empty book. Separator stands between the two parts of a call's
// identity.
func New(c clock.Clock, separator string) *Registry {
	return &Registry{clock: c, separator: separator, runs: make(map[string]run)}
}

// Begin notes that the target runs the request with this identity.
func (b *Registry) Begin(id string, t trip.Trip) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.runs[id] = run{trip: t, began: b.clock.Fine()}
}

// End notes the end of the run.
func (b *Registry) End(id string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.runs, id)
}

// Find returns the running request for which a call is made, with the times
// that it has left now.
func (b *Registry) Find(call string) (trip.Trip, bool) {
	at := strings.LastIndex(call, b.separator)
	if at <= 0 {
		return trip.Trip{}, false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r, ok := b.runs[call[:at]]
	return r.trip.WithLeft(b.clock.Fine() - r.began), ok
}

// Len returns how many requests run.
func (b *Registry) Len() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.runs)
}
