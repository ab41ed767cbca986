// Package warmup bounds the request rate of a target in its cold start.
//
// It answers the load after many targets of a service started together: under their
// usual part of the demand cold targets crash and start cold again, so that the service
// stays down for as long as the demand lasts.
package warmup

import "bergamotloom.example/clock"

const (
	// unknownRate is the bound, in requests per second, while no configuration tells what
	// a cold target can take.
	unknownRate = 10
	// maxColdMillis bounds the length of a cold start that the configuration doesn't bound.
	maxColdMillis = 60_000
	// marginMillis is added to the length of a cold start: heartbeats take some time.
	marginMillis = 50
)

// Warmup is the cold start of one target. It isn't safe for concurrent use.
type Warmup struct {
	clock clock.Clock
	// configured says that rate and coldStartMillis are known. Rate is in requests per
	// second; 0 means that cold targets need no bound.
	configured      bool
	rate            float64
	coldStartMillis int64
	// untilMillis is when the target stops being cold.
	untilMillis int64
}

// New returns the state of a target that isn't cold.
func New(c clock.Clock) *Warmup {
	return &Warmup{clock: c}
}

// Configure sets what a cold target can take, in requests per second (0 if there's no
// bound), and how long a cold start lasts at most, in milliseconds (0 if unknown).
func (w *Warmup) Configure(rate float64, coldStartMillis int64) {
	w.configured, w.rate, w.coldStartMillis = true, max(rate, 0), max(coldStartMillis, 0)
	w.untilMillis = min(w.untilMillis, w.clock.Now()+w.maxMillis())
}

// Learn takes in from the target how much longer it's cold, in milliseconds; 0 and less
// say that it isn't. It reports whether that was longer than a cold start can take and
// was cut.
func (w *Warmup) Learn(remainingMillis int64) (cut bool) {
	if remainingMillis <= 0 {
		w.untilMillis = 0
		return false
	}
	longest := w.maxMillis()
	w.untilMillis = w.clock.Now() + min(remainingMillis, longest) + marginMillis
	return remainingMillis > longest
}

// Suspect records that the target may have become cold without having said so yet. The
// next Learn overrides it.
func (w *Warmup) Suspect() {
	w.untilMillis = w.clock.Now() + w.maxMillis()
}

func (w *Warmup) maxMillis() int64 {
	if w.coldStartMillis > 0 {
		return w.coldStartMillis
	}
	return maxColdMillis
}

// Rate returns the bound in requests per second; ok is false if there's none now.
func (w *Warmup) Rate() (rate float64, ok bool) {
	if w.RemainingMillis() == 0 {
		return 0, false
	}
	if !w.configured {
		return unknownRate, true
	}
	return w.rate, w.rate > 0
}

// RemainingMillis returns how much longer the target is cold, 0 if it isn't.
func (w *Warmup) RemainingMillis() int64 {
	return max(w.untilMillis-w.clock.Now(), 0)
}
