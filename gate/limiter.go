package gate

import "math"

const (
	// leastEnded is how many requests a judgement of their times needs.
	leastEnded = 20
	// slowFactor is how much longer than its base a request may take in the
	// target before the limit is doubted.
	slowFactor = 1.4
	// trialEnded is how many requests a trial is judged by, and the times
	// before it.
	trialEnded = 60
	// trialPart is the part of the limit that a trial leaves.
	trialPart = 0.7
	// helpedPart is the part of the earlier time that a trial must reach for
	// the lower limit to stay.
	helpedPart = 0.85
	// skipFactor is how many requests end, as a multiple of the limit, before
	// those of a trial are measured.
	skipFactor = 1.5
	// baseShare is how far a judgement at easyUse or less moves the base.
	baseShare = 0.1
	easyUse   = 0.8
	// growPart is what the limit gains when the slots were in full use.
	growPart = 0.05
	// startGrow is what it gains with each request that ends in full use
	// before requests were found slow for the first time.
	startGrow = 0.5
	// fullUse is the use of the slots that counts as full.
	fullUse = 0.9
	// leastLimit is the lowest limit.
	leastLimit = 1
)

// limiter finds how many requests the target can run at once, at most its
// announced slots. When requests take much longer than at the best of times,
// it tries a lower limit, and keeps it only if that makes them faster: a
// target that is slow for another reason keeps its slots.
type limiter struct {
	slots float64
	limit float64
	base  float64
	sum   float64
	count int
	// before is the time per request before the trial under way, or 0.
	before float64
	// from is the limit before that trial.
	from float64
	// skip is how many more ends belong to requests from before the trial.
	skip int
	// steady says that requests were found slow before.
	steady bool
}

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots), limit: math.Max(math.Ceil(float64(slots)*startPart), leastLimit)}
}

func (l *limiter) current() int { return int(l.limit) }

// hoped returns the limit that the plan counts on: all slots until requests
// were found slow for the first time, as the limit grows fast up to there.
func (l *limiter) hoped() int {
	if l.steady {
		return l.current()
	}
	return int(l.slots)
}

func (l *limiter) resize(slots int) {
	l.slots = float64(slots)
	l.limit = min(l.limit, l.slots)
}

// ended takes the time that a request spent in the target itself, and whether
// all slots within the limit were in use.
func (l *limiter) ended(ownMillis float64, inFull bool) {
	if inFull && !l.steady {
		l.limit = min(l.limit+startGrow, l.slots)
	}
	if l.skip > 0 {
		l.skip--
		return
	}
	l.sum += ownMillis
	l.count++
}

// judge takes the use of the slots in the window that is over.
func (l *limiter) judge(busy float64) {
	if l.count < leastEnded || l.before > 0 && l.count < trialEnded {
		return
	}
	mean := l.sum / float64(l.count)
	switch {
	case l.before > 0:
		l.endTrial(mean)
	case l.base == 0 || mean <= l.base*slowFactor || busy < fullUse:
		l.grow(mean, busy)
	case l.count < trialEnded:
		l.steady = true
		return
	default:
		l.beginTrial(mean)
	}
	l.sum, l.count = 0, 0
}

func (l *limiter) beginTrial(mean float64) {
	l.before, l.from = mean, l.limit
	l.limit = max(l.limit*trialPart, leastLimit)
	l.skip = int(l.from * skipFactor)
}

func (l *limiter) endTrial(mean float64) {
	if mean > l.before*helpedPart {
		l.base = mean
		l.limit = l.from
	}
	l.before = 0
}

func (l *limiter) grow(mean, busy float64) {
	l.learnBase(mean, busy)
	if busy < fullUse {
		return
	}
	l.limit = min(l.limit+max(l.limit*growPart, 1), l.slots)
}

// learnBase takes the lowest time, and follows others only while slots are
// free, as a time in full use may be the target's own queue.
func (l *limiter) learnBase(mean, busy float64) {
	switch {
	case l.base == 0 || mean < l.base:
		l.base = mean
	case busy <= easyUse:
		l.base += (mean - l.base) * baseShare
	}
}
