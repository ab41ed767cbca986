package gate

import "math"

const (
	// minEnded is how many requests must have ended before their run times
	// are evaluated.
	minEnded = 20
	// slowFactor is how many times the base run time (the mean without queueing
	// at the target) a request may run before a lower limit is tried.
	slowFactor = 1.4
	// minTrialEnded is how many requests must have ended to evaluate a trial,
	// and the run times before it.
	minTrialEnded = 60
	// trialLimitFactor is the limit of a trial, relative to the one before.
	trialLimitFactor = 0.7
	// trialSuccessFactor is the max run time, relative to that before the trial,
	// at which the lower limit is kept.
	trialSuccessFactor = 0.85
	// trialSkipFactor times the limit before the trial is the number of ended
	// requests that aren't measured after it begins, as they started before.
	trialSkipFactor = 1.5
	// baseSmoothingFactor is the weight of one evaluation in the base at a
	// utilization of at most lowUtilization.
	baseSmoothingFactor = 0.1
	lowUtilization      = 0.8
	// growthFraction is how much the limit grows with each evaluation while the
	// slots are in full use, as a fraction of the limit.
	growthFraction = 0.05
	// startupGrowth is how many slots the limit grows with each request that
	// ends in full use, until requests are found slow for the first time.
	startupGrowth = 0.5
	// fullUtilization is the utilization of the slots that counts as full.
	fullUtilization = 0.9
	minLimit        = 1
)

// limiter finds how many requests the target can run at once, at most its
// announced slots. When requests run much longer than the fastest ones did, it
// tries a lower limit, and keeps it only if that makes them faster: a target
// that is slow for another reason keeps its slots.
type limiter struct {
	slots float64
	limit float64
	// baseMillis is the mean run time without queueing at the target, or 0.
	baseMillis float64
	// sumMillis and ended are the run times since the last evaluation.
	sumMillis float64
	ended     int
	// preTrialMillis is the mean run time before the current trial, or 0 if
	// there is none, and preTrialLimit the limit before it.
	preTrialMillis float64
	preTrialLimit  float64
	// skipRemaining is how many of the next requests to end are not measured, as
	// they started before the trial.
	skipRemaining int
	// startupOver is true once the mean run time has exceeded slowFactor times
	// the base at full utilization.
	startupOver bool
}

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots), limit: math.Max(math.Ceil(float64(slots)*initialLimitFraction), minLimit)}
}

func (l *limiter) current() int { return int(l.limit) }

// planned returns the limit that the plan is based on: all slots until
// requests are found slow for the first time, as the limit is still growing
// fast from its initial value and would understate the capacity.
func (l *limiter) planned() int {
	if l.startupOver {
		return l.current()
	}
	return int(l.slots)
}

func (l *limiter) setSlots(slots int) {
	l.slots = float64(slots)
	l.limit = min(l.limit, l.slots)
}

// requestEnded records the time that a request spent in the target itself, and
// whether all slots within the limit were in use.
func (l *limiter) requestEnded(ownMillis float64, atLimit bool) {
	if atLimit && !l.startupOver {
		l.limit = min(l.limit+startupGrowth, l.slots)
	}
	if l.skipRemaining > 0 {
		l.skipRemaining--
		return
	}
	l.sumMillis += ownMillis
	l.ended++
}

// evaluate adjusts the limit, given the utilization of the slots in the window
// that is over.
func (l *limiter) evaluate(utilization float64) {
	if l.ended < minEnded || l.preTrialMillis > 0 && l.ended < minTrialEnded {
		return
	}
	meanMillis := l.sumMillis / float64(l.ended)
	switch {
	case l.preTrialMillis > 0:
		l.endTrial(meanMillis)
	case l.baseMillis == 0 || meanMillis <= l.baseMillis*slowFactor || utilization < fullUtilization:
		l.grow(meanMillis, utilization)
	case l.ended < minTrialEnded:
		// A trial needs more samples; the end of the startup already stops the
		// fast growth.
		l.startupOver = true
		return
	default:
		l.beginTrial(meanMillis)
	}
	l.sumMillis, l.ended = 0, 0
}

func (l *limiter) beginTrial(meanMillis float64) {
	l.preTrialMillis, l.preTrialLimit = meanMillis, l.limit
	l.limit = max(l.limit*trialLimitFactor, minLimit)
	l.skipRemaining = int(l.preTrialLimit * trialSkipFactor)
}

func (l *limiter) endTrial(meanMillis float64) {
	if meanMillis > l.preTrialMillis*trialSuccessFactor {
		// The lower limit didn't help, so the longer run time isn't due to
		// queueing at the target: it's the new base.
		l.baseMillis = meanMillis
		l.limit = l.preTrialLimit
	}
	l.preTrialMillis = 0
}

func (l *limiter) grow(meanMillis, utilization float64) {
	l.updateBase(meanMillis, utilization)
	if utilization < fullUtilization {
		return
	}
	l.limit = min(l.limit+max(l.limit*growthFraction, 1), l.slots)
}

// updateBase lowers the base to a shorter run time at once, and raises it
// towards a longer one only while slots are free, as a run time in full use may
// include queueing at the target.
func (l *limiter) updateBase(meanMillis, utilization float64) {
	switch {
	case l.baseMillis == 0 || meanMillis < l.baseMillis:
		l.baseMillis = meanMillis
	case utilization <= lowUtilization:
		l.baseMillis += (meanMillis - l.baseMillis) * baseSmoothingFactor
	}
}
