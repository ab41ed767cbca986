// Package limit finds how many requests a target should run at once.
//
// Many targets slow down when nearly all of their slots are taken, so that a
// few requests fewer at a time get more done. While a target is busy, Limit
// tries a little more and a little less from time to time and goes where more
// gets done.
package limit

import "math"

const (
	// stepPart of the slots is the distance between two limits that are tried.
	stepPart = 0.05
	// startPart and leastPart of the slots are the first limit and the lowest.
	startPart = 0.9
	leastPart = 0.5
	// holdMillis is how long the best limit is kept between two trials,
	// trialMillis how long a trial takes.
	holdMillis  = 900
	trialMillis = 150
	// settleMillis after a change of the limit, runs still began under the old
	// one or are mixed.
	settleMillis = 30
	// enoughRuns is how many runs a trial needs to count.
	enoughRuns = 40
	// betterBy is how much more must get done for a change: less is noise.
	betterBy = 1.03
	// kindSmoothing is the weight of a new run in the mean of its kind. It's
	// slow, so that runs before and during a trial are compared to the same.
	kindSmoothing = 0.002
	runSmoothing  = 0.02
	// mostStretch is what one run counts at most, in means of its kind.
	mostStretch = 4
	// guessMillis is taken for a run as long as nothing is known.
	guessMillis = 20
)

// Limit learns from the runs of one target. It isn't safe for concurrent use.
type Limit struct {
	slots int
	best  int
	now   int
	// up tells whether the next trial is of a higher limit.
	up      bool
	changed int64
	kinds   map[string]float64
	kept    sample
	trial   sample
	// run is the mean time of a run, and runs how many it's made of.
	run  float64
	runs float64
}

// sample holds how much longer than the mean of their kinds some runs took.
type sample struct {
	runs float64
	sum  float64
}

func (s sample) stretch() float64 { return s.sum / s.runs }

// New returns a limit for a target with this many slots.
func New(slots int) *Limit {
	slots = max(slots, 1)
	best := max(int(math.Ceil(startPart*float64(slots))), 1)
	return &Limit{slots: slots, best: best, now: best, kinds: make(map[string]float64)}
}

// RecordServed takes in a run that took so many milliseconds and ended now. All
// runs of a kind take about the same time.
func (l *Limit) RecordServed(kind string, millis float64, now int64) {
	l.learn(millis)
	mean, ok := l.kinds[kind]
	if !ok || mean <= 0 {
		l.kinds[kind] = millis
		return
	}
	l.kinds[kind] += (millis - mean) * kindSmoothing
	if now-l.changed < settleMillis {
		return
	}
	s := &l.kept
	if l.now != l.best {
		s = &l.trial
	}
	s.runs++
	s.sum += min(millis/mean, mostStretch)
}

// RecordUnserved takes in a run that held a slot for so many milliseconds without serving
// its request. It only makes runs look longer: a target that fails quickly isn't
// faster for it, and would draw all requests if it were taken so. One whose runs
// fail after a long time has room for as few as one that serves them.
func (l *Limit) RecordUnserved(millis float64) {
	if millis > max(l.run, guessMillis) {
		l.learn(millis)
	}
}

// learn updates the mean: that of all runs as long as they're few, and one that
// forgets later.
func (l *Limit) learn(millis float64) {
	l.runs++
	l.run += (millis - l.run) * max(1/l.runs, runSmoothing)
}

// RunMillis returns how long a run takes, on average.
func (l *Limit) RunMillis() float64 {
	return l.run
}

// Slots returns the target's slots.
func (l *Limit) Slots() int {
	return l.slots
}

// Choose returns how many requests to let the target run from now on. Busy
// tells whether requests wait; without them there's nothing to compare.
func (l *Limit) Choose(busy bool, now int64) int {
	passed := now - l.changed
	switch {
	case !busy:
		l.reset(now)
	case l.now != l.best && passed >= trialMillis:
		l.judge()
		l.reset(now)
	case l.now == l.best && passed >= holdMillis:
		l.begin(now)
	}
	return l.now
}

// begin starts a trial of a limit beside the best one.
func (l *Limit) begin(now int64) {
	l.up = !l.up
	step := max(int(math.Round(stepPart*float64(l.slots))), 1)
	if !l.up {
		step = -step
	}
	l.now = min(max(l.best+step, l.least()), l.slots)
	l.changed = now
	l.trial = sample{}
}

// judge ends a trial and takes its limit if more gets done with it.
func (l *Limit) judge() {
	if l.trial.runs < enoughRuns || l.kept.runs < enoughRuns {
		return
	}
	before := float64(l.best) / l.kept.stretch()
	after := float64(l.now) / l.trial.stretch()
	// A lower limit that gets as much done leaves more room for what's urgent.
	if after > before*betterBy || l.now < l.best && after*betterBy > before {
		l.best = l.now
	}
}

func (l *Limit) reset(now int64) {
	l.now = l.best
	l.changed = now
	l.kept, l.trial = sample{}, sample{}
}

func (l *Limit) least() int {
	return max(int(leastPart*float64(l.slots)), 1)
}
