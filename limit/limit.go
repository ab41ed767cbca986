// Package limit finds how many requests a target should run at once.
//
// Many targets slow down when nearly all of their slots are taken, so that a
// slightly lower concurrency gives a higher throughput. While a target is busy,
// Limit periodically tries a higher or a lower limit and keeps the one with the
// higher throughput.
package limit

import "math"

const (
	// stepFraction is the difference between the best limit and a tried one, as a
	// fraction of the slots.
	stepFraction = 0.05
	// initialLimitFraction and minLimitFraction are the first and the lowest
	// limit, as fractions of the slots.
	initialLimitFraction = 0.9
	minLimitFraction     = 0.5
	// holdMillis is the minimum time between two trials, trialMillis the minimum
	// length of one. Choose, which is called every 100 ms, ends both.
	holdMillis  = 900
	trialMillis = 150
	// settleMillis is the time after a change of the limit in which run times
	// aren't sampled, because these runs began or ran in part under the previous
	// limit.
	settleMillis = 30
	// minSampleRuns is how many runs each of the two samples needs for a
	// comparison.
	minSampleRuns = 40
	// minGain is the ratio of throughputs that justifies a change of the limit;
	// smaller differences are noise.
	minGain = 1.03
	// kindSmoothingFactor is the weight of a new run in the EWMA of its kind.
	// It's low, so that runs before and during a trial are compared with the
	// same mean.
	kindSmoothingFactor = 0.002
	// maxRunRatio caps the weight of one slow run in a sample, as a multiple of
	// the mean of its kind.
	maxRunRatio = 4
	// minUnservedMillis is the time for which an unserved run must hold its slot to
	// be included in the mean run time, even if that mean is lower or there is none
	// yet.
	minUnservedMillis = 20
)

// RunSmoothingFactor is the weight of a new run in the mean run time. It's 1 divided by
// the number of runs while that is larger.
const RunSmoothingFactor = 0.02

// Limit adapts the concurrency limit of one target to its run times. It isn't safe
// for concurrent use.
type Limit struct {
	slots int
	// best is the limit with the highest throughput so far. Current is the one
	// in force; it differs from best during a trial.
	best    int
	current int
	// lastTrialHigher says that the last trial was of a higher limit; trials
	// alternate.
	lastTrialHigher bool
	// changedMillis is when the current limit was set or the samples were reset.
	changedMillis int64
	// kindMillis holds the EWMA of the normal run time of each kind.
	kindMillis  map[string]float64
	bestSample  sample
	trialSample sample
	// runMillis is the mean run time, runs the number of runs recorded in it.
	runMillis float64
	runs      float64
}

// sample sums up runs; ratioSum is the sum of their normal run times, each divided by
// the mean of its kind.
type sample struct {
	runs     float64
	ratioSum float64
}

func (s sample) meanRatio() float64 { return s.ratioSum / s.runs }

// New returns a limit for a target with this many slots.
func New(slots int) *Limit {
	slots = max(slots, 1)
	best := max(int(math.Ceil(initialLimitFraction*float64(slots))), 1)
	return &Limit{slots: slots, best: best, current: best, kindMillis: make(map[string]float64)}
}

// RecordServed records a run that served its request and ended now, with its run
// time in milliseconds, and with the time that it would have taken at the usual speed
// of the target, by which limits are compared: else a machine that slows down during a
// trial would seem to be an effect of the limit. Now is in milliseconds of the clock,
// here and in Choose. Runs of one kind are expected to take about the same normal time.
func (l *Limit) RecordServed(kind string, runMillis, normalMillis float64, now int64) {
	l.updateRunMillis(runMillis)
	mean, ok := l.kindMillis[kind]
	if !ok || mean <= 0 {
		l.kindMillis[kind] = normalMillis
		return
	}
	l.kindMillis[kind] += (normalMillis - mean) * kindSmoothingFactor
	if now-l.changedMillis < settleMillis {
		return
	}
	s := &l.bestSample
	if l.current != l.best {
		s = &l.trialSample
	}
	s.runs++
	s.ratioSum += min(normalMillis/mean, maxRunRatio)
}

// RecordUnserved records a run that held a slot for this many milliseconds
// without serving its request. It can only raise the mean run time: a target that
// fails quickly isn't faster, and would attract all requests if it seemed so. One
// whose runs fail after a long time has as little headroom as one that serves
// them.
func (l *Limit) RecordUnserved(heldMillis float64) {
	if heldMillis > max(l.runMillis, minUnservedMillis) {
		l.updateRunMillis(heldMillis)
	}
}

// updateRunMillis updates the mean run time: the plain mean of the first runs,
// later an EWMA.
func (l *Limit) updateRunMillis(runMillis float64) {
	l.runs++
	l.runMillis += (runMillis - l.runMillis) * max(1/l.runs, RunSmoothingFactor)
}

// RunMillis returns the mean run time in milliseconds.
func (l *Limit) RunMillis() float64 {
	return l.runMillis
}

// Slots returns the target's slots.
func (l *Limit) Slots() int {
	return l.slots
}

// Choose returns how many requests the target may run at once from now on. Busy
// says that requests are queued; without a queue the throughput doesn't depend on
// the limit, so nothing is tried.
func (l *Limit) Choose(busy bool, now int64) int {
	passedMillis := now - l.changedMillis
	switch {
	case !busy:
		l.reset(now)
	case l.current != l.best && passedMillis >= trialMillis:
		l.evaluateTrial()
		l.reset(now)
	case l.current == l.best && passedMillis >= holdMillis:
		l.startTrial(now)
	}
	return l.current
}

// startTrial sets the limit one step above or below the best one.
func (l *Limit) startTrial(now int64) {
	l.lastTrialHigher = !l.lastTrialHigher
	step := max(int(math.Round(stepFraction*float64(l.slots))), 1)
	if !l.lastTrialHigher {
		step = -step
	}
	l.current = min(max(l.best+step, l.minLimit()), l.slots)
	l.changedMillis = now
	l.trialSample = sample{}
}

// evaluateTrial adopts the tried limit if its throughput is clearly higher, or if
// it's lower than the best limit and has about the same throughput. With too few
// runs it changes nothing.
func (l *Limit) evaluateTrial() {
	if l.trialSample.runs < minSampleRuns || l.bestSample.runs < minSampleRuns {
		return
	}
	// Throughput is proportional to the limit divided by the run time, which is
	// taken relative to the mean of the kind so that the mix of kinds doesn't
	// matter.
	bestThroughput := float64(l.best) / l.bestSample.meanRatio()
	trialThroughput := float64(l.current) / l.trialSample.meanRatio()
	// A lower limit with the same throughput leaves more headroom for important
	// requests.
	if trialThroughput > bestThroughput*minGain || l.current < l.best && trialThroughput*minGain > bestThroughput {
		l.best = l.current
	}
}

// reset returns to the best limit and discards the samples.
func (l *Limit) reset(now int64) {
	l.current = l.best
	l.changedMillis = now
	l.bestSample, l.trialSample = sample{}, sample{}
}

func (l *Limit) minLimit() int {
	return max(int(minLimitFraction*float64(l.slots)), 1)
}
