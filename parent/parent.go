// Package parent finds the request for which a target makes a call, where the
// call carries no token of it.
//
// A call expires when its parent does, so the parent is taken to be the running
// request whose deadline lies nearest to the call's.
package parent

import (
	"math"
	"sync"

	"bergamotloom.example/trip"
)

// toleranceMillis is how far the deadlines may lie apart: a call's deadline is
// rounded to a millisecond, and the call takes some time to be read.
const toleranceMillis = 12

// Book lists the requests that the target beside this node is running. It's
// safe for many goroutines.
type Book struct {
	mutex sync.Mutex
	runs  map[int64]run
	next  int64
}

type run struct {
	due  float64
	trip trip.Trip
}

// New returns an empty book.
func New() *Book {
	return &Book{runs: make(map[int64]run)}
}

// Begin notes that the target runs a request until due, in milliseconds, and
// returns the function that notes its end.
func (b *Book) Begin(t trip.Trip, due float64) (end func()) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.next++
	serial := b.next
	b.runs[serial] = run{due: due, trip: t}
	return func() {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		delete(b.runs, serial)
	}
}

// Find returns the running request whose deadline is nearest to due, and by
// how much the two differ; ok is false if none is near enough.
func (b *Book) Find(due float64) (t trip.Trip, offMillis float64, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	off := math.Inf(1)
	for _, r := range b.runs {
		if d := math.Abs(r.due - due); d < off {
			off, t = d, r.trip
		}
	}
	return t, off, off <= toleranceMillis
}

// Len returns how many requests run.
func (b *Book) Len() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.runs)
}
