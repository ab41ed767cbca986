// Package delay computes how long a refused caller should wait before its retry.
//
// Callers retry once, and wait at most a third of the time until their deadline.
// The delays of callers that were refused together are spread over that time, so
// that their retries don't arrive together. A delay leaves time to meet the
// objective of the route, if the caller hasn't missed that already.
package delay

import "bergamotloom.example/reason"

const (
	// maxRemainingFraction bounds the delay, as a fraction of the time until the
	// deadline.
	maxRemainingFraction = 0.33
	// maxObjectiveFraction bounds the delay, as a fraction of the time until the
	// objective; the rest is for running the request.
	maxObjectiveFraction = 0.5
	// minMillis is the shortest delay, except after the loss of an instance. An
	// objective that would need a shorter one is ignored.
	minMillis = 50
	// failoverMillis is enough to find another instance after one was lost.
	failoverMillis = 200
)

// Millis returns the delay, in milliseconds, for a caller that was refused for
// this reason. RemainingMillis is the time until the request's deadline and
// objectiveMillis the time left to meet the objective, negative once it has
// passed. Random is between 0 and 1.
func Millis(why reason.Reason, remainingMillis, objectiveMillis, random float64) float64 {
	longest := remainingMillis * maxRemainingFraction
	if why == reason.Leaving || why == reason.Evacuated || why == reason.NoInstance || why == reason.NotInForce {
		return min(longest, failoverMillis)
	}
	if bound := objectiveMillis * maxObjectiveFraction; bound > minMillis {
		longest = min(longest, bound)
	}
	return minMillis + random*max(longest-minMillis, 0)
}
