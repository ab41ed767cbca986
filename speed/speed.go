// Package speed follows the current speed of one target, as the target reports it.
//
// It answers the load in which neighbours on a target's machine slow it down by a factor
// of 2.5 for fractions of a second. The mean of its run times adapts when these runs have
// ended, which is too late: by then requests have queued up there.
package speed

import (
	"math"

	"bergamotloom.example/clock"
	"bergamotloom.example/limit"
)

const (
	// agingMillis is the age at which a figure tells nothing any more. Neighbours change
	// about every 600 ms.
	agingMillis = 1000
	// usualMillis is the time over which the mean of the figures is taken. It spans several
	// changes of the neighbours.
	usualMillis = 5000
	// maxFactor bounds the factors in both directions. Neighbours and differences of
	// machines account for a factor of about 5; a target that reports more is mistaken,
	// and would get all requests or none.
	maxFactor  = 8
	wholeRatio = 100
)

// Speed is the speed of one target. Figures are durations of work in percent of the usual
// one. It isn't safe for concurrent use.
type Speed struct {
	clock clock.Clock
	// last is the last figure, 0 if there's none, and lastMillis when it came.
	last       float64
	lastMillis int64
	// usual is the mean of the figures over time, and coveredMillis the time that it
	// covers.
	usual         float64
	coveredMillis float64
	// recent is the mean of the figures with the weights that the mean run time gives to
	// the same runs, and runs their number. Base is recent as of the last Rebase.
	recent float64
	runs   float64
	base   float64
}

// New returns the speed of a target that has reported none.
func New(c clock.Clock) *Speed {
	return &Speed{clock: c}
}

// Learn takes in the figure in the response of a run, in percent, or 0 if the response
// has none.
func (s *Speed) Learn(percent float64) {
	if percent > 0 {
		s.learnUsual(percent)
	}
	if s.last == 0 {
		return
	}
	s.runs++
	s.recent += (s.current() - s.recent) * max(1/s.runs, limit.RunSmoothingFactor)
	if s.base == 0 {
		s.base = s.recent
	}
}

func (s *Speed) learnUsual(percent float64) {
	now := s.clock.Now()
	if s.last == 0 {
		s.usual = percent
	} else {
		// A figure stands for the time since the one before it, but not for a long silence.
		passed := min(float64(now-s.lastMillis), agingMillis)
		s.coveredMillis += passed
		if passed > 0 {
			s.usual += (percent - s.usual) * max(passed/s.coveredMillis, 1-math.Exp(-passed/usualMillis))
		}
	}
	s.last, s.lastMillis = percent, now
}

// current returns the estimated figure at this moment: the last one, or with its age
// more and more the usual one.
func (s *Speed) current() float64 {
	return s.usual + (s.last-s.usual)*freshness(s.clock.Since(s.lastMillis))
}

// Known reports whether the target has reported its speed.
func (s *Speed) Known() bool {
	return s.last > 0
}

// Rebase makes Factor relate to the mean run time of this moment. It's called when a
// status card with that mean is made: entries multiply the mean on the last card by the
// factors that they get between two cards.
func (s *Speed) Rebase() {
	s.base = s.recent
}

// Factor returns the current run time in relation to the mean run time as of the last
// Rebase: 2 means twice as long. It's 1 if the speed isn't known.
func (s *Speed) Factor() float64 {
	if s.base == 0 {
		return 1
	}
	return bound(s.current() / s.base)
}

// Normal returns how long a run that ends now would have taken at the usual duration
// of work.
func (s *Speed) Normal(runMillis float64) float64 {
	if s.last == 0 {
		return runMillis
	}
	return runMillis * wholeRatio / s.current()
}

// Aged returns what a factor that came this many milliseconds ago says of the present.
// It returns to 1 with its age. Factors of 0 and less are unknown.
func Aged(factor float64, ageMillis int64) float64 {
	if !(factor > 0) {
		return 1
	}
	return 1 + (bound(factor)-1)*freshness(ageMillis)
}

// freshness returns the weight of a figure of this age, from 1 to 0.
func freshness(ageMillis int64) float64 {
	return 1 - float64(min(max(ageMillis, 0), agingMillis))/agingMillis
}

func bound(factor float64) float64 {
	return min(max(factor, 1.0/maxFactor), maxFactor)
}
