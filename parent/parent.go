// Package parent finds the request for which a target makes a call, if the call
// carries no call token.
//
// Targets derive the identity of a call from that of the request they run: it's
// the request's identity, a separator and a suffix.
package parent

import (
	"strings"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/trip"
)

// Registry holds the trips of the requests that this node's target is running, by
// their identities. It's safe for concurrent use.
type Registry struct {
	clock     clock.Clock
	separator string
	mutex     sync.Mutex
	runs      map[string]run
}

type run struct {
	trip        trip.Trip
	startMillis float64
}

// New returns an empty registry. Separator is the text between the request's
// identity and the suffix in a call's identity.
func New(c clock.Clock, separator string) *Registry {
	return &Registry{clock: c, separator: separator, runs: make(map[string]run)}
}

// Begin records that the target runs the request with this identity. The remaining
// times in the trip are relative to the moment of this call. End must be called
// when the run ends.
func (r *Registry) Begin(id string, t trip.Trip) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id] = run{trip: t, startMillis: r.clock.Fine()}
}

// End removes the request with this identity.
func (r *Registry) End(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.runs, id)
}

// Find returns the trip of the running request for which the call with this
// identity is made, with its times reduced by the time since Begin. It returns
// false if no such request runs.
func (r *Registry) Find(id string) (trip.Trip, bool) {
	separatorIndex := strings.LastIndex(id, r.separator)
	// A request's identity isn't empty.
	if separatorIndex <= 0 {
		return trip.Trip{}, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found, ok := r.runs[id[:separatorIndex]]
	return found.trip.WithElapsed(r.clock.Fine() - found.startMillis), ok
}

// Len returns the number of running requests.
func (r *Registry) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.runs)
}
