// Package fresh decides how old a node's knowledge of a table of the store may get.
//
// Most nodes don't call the store: a few watch it and tell the others. A node that hears
// of no change can't tell whether there is none or whether nobody asks any more. So each
// node knows as of when the store had nothing newer than what it has. One node confirms
// that in short intervals, and cards pass it on, with its age. A node whose last
// confirmation gets too old asks the store itself, whatever the others seem to do.
package fresh

import (
	"math"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/cursor"
)

const (
	// All times are shares of the bound within which a change must be known everywhere.
	// In the worst case the last confirmation comes right before a change and a fault, a
	// node asks after maxAgeShare and rampShare, and its first call fails after
	// attemptShare: 0.83, and the second call has the rest.
	//
	// confirmShare is the time between two confirmations. The rest of maxAgeShare is for
	// the cards on their way through a large fleet.
	confirmShare = 0.35
	maxAgeShare  = 0.55
	rampShare    = 0.15
	attemptShare = 0.125
	// maxPositionMillis is the age at which a position counts as lost: the store keeps
	// its history for some seconds only.
	maxPositionMillis = 10_000
	// minRetryMillis is the time between two calls of a node that asks in vain. In a
	// large fleet it's retryMillisPerPeer for each peer, so that all nodes together call
	// some 16 times a second while the store is away.
	minRetryMillis     = 2500
	retryMillisPerPeer = 60
	// maxAttemptDoublings bounds the timeouts of repeated calls.
	maxAttemptDoublings = 2
)

// Fresh is what one node knows of the age of its knowledge. It's safe for concurrent use.
type Fresh struct {
	clock clock.Clock
	// boundMillis is the time within which a change must be known; 0 if there's no bound.
	boundMillis int64

	mutex sync.Mutex
	// at is the position up to which the table is known, if hasPosition is true. The store
	// had nothing newer as of asOfMillis.
	at          cursor.Cursor
	hasPosition bool
	asOfMillis  int64
	// positionMillis is when the position was the last one of the store, or when it was
	// dropped.
	positionMillis int64
	// isNews says that there was a confirmation since the last call of Tell.
	isNews bool
}

// New returns the state of a node that knows nothing yet, and need not before
// startMillis. Changes must be known within boundMillis; without a bound (0) nothing
// gets too old.
func New(c clock.Clock, boundMillis, startMillis int64) *Fresh {
	return &Fresh{clock: c, boundMillis: boundMillis, asOfMillis: startMillis}
}

// Confirm takes in from a peer that the table is known up to a position, and that the
// store had nothing newer as of that moment.
func (f *Fresh) Confirm(at cursor.Cursor, asOfMillis int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.take(at, asOfMillis, asOfMillis)
}

// Read takes in a response of the store just received: the table is known up to a
// position, and the store had nothing newer as of that moment.
func (f *Fresh) Read(at cursor.Cursor, asOfMillis int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.take(at, asOfMillis, f.clock.Now())
}

// take takes in a position that was the store's last one at positionMillis. The latest
// one counts: in a store that was restored from a copy and names no era, versions have
// gone back.
func (f *Fresh) take(at cursor.Cursor, asOfMillis, positionMillis int64) {
	if f.hasPosition && at.Era < f.at.Era {
		return
	}
	f.isNews = f.isNews || asOfMillis-f.asOfMillis >= f.ConfirmMillis()/2
	f.asOfMillis = max(f.asOfMillis, asOfMillis)
	if positionMillis >= f.positionMillis || f.hasPosition && at.Era > f.at.Era {
		f.at, f.hasPosition, f.positionMillis = at, true, positionMillis
	}
}

// DropPosition records that changes after the position can't be read any more, so that
// the whole table must be. What peers knew before now is of no use either.
func (f *Fresh) DropPosition() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hasPosition, f.positionMillis = false, f.clock.Now()
}

// Position returns the position up to which the table is known; ok is false if there's
// none from which changes can still be read.
func (f *Fresh) Position() (at cursor.Cursor, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.at, f.hasPosition && f.clock.Since(f.positionMillis) <= maxPositionMillis
}

// Tell returns what to tell peers: the position up to which the table is known, and how
// long ago the store had nothing newer; ok is false if there's nothing to tell.
func (f *Fresh) Tell() (at cursor.Cursor, ageMillis int64, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isNews = false
	ageMillis = max(f.clock.Since(f.asOfMillis), 0)
	return f.at, ageMillis, f.hasPosition && f.boundMillis > 0 && ageMillis <= maxPositionMillis
}

// HasNews reports whether there was a confirmation that peers weren't told yet.
func (f *Fresh) HasNews() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.isNews && f.boundMillis > 0
}

// AgeMillis returns how long ago the store had nothing newer than what this node knows.
func (f *Fresh) AgeMillis() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.clock.Since(f.asOfMillis)
}

// HasBound reports whether knowledge can get too old.
func (f *Fresh) HasBound() bool {
	return f.boundMillis > 0
}

// ConfirmMillis returns the time between two confirmations.
func (f *Fresh) ConfirmMillis() int64 {
	return f.share(confirmShare)
}

// MillisUntilOld returns how long it takes until this node has to ask the store itself,
// unless there's a confirmation before that. Before is the number of the peers that are to
// ask before it, of so many peers. The number of nodes that ask grows exponentially, so
// that few do if one of the first reaches the store, and all do in time if none does.
func (f *Fresh) MillisUntilOld(before, peers int) int64 {
	if f.boundMillis == 0 {
		return math.MaxInt64
	}
	ramp := 0.0
	if before > 0 {
		ramp = rampShare * math.Log(float64(before+1)) / math.Log(float64(max(peers, before)+1))
	}
	return f.share(maxAgeShare+ramp) - f.AgeMillis()
}

// AttemptMillis returns the timeout of a call of a node that has to ask itself, after so
// many failures in a row.
func (f *Fresh) AttemptMillis(failures int) int64 {
	return f.share(attemptShare) << min(failures, maxAttemptDoublings)
}

// RetryMillis returns the time between two calls of a node that asks in vain.
func (f *Fresh) RetryMillis(peers int) int64 {
	return max(minRetryMillis, int64(peers)*retryMillisPerPeer)
}

func (f *Fresh) share(s float64) int64 {
	return int64(s * float64(f.boundMillis))
}
