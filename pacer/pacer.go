// Package pacer controls the admission threshold of a target's gate: how many of
// the root requests that need this target the entries should admit.
//
// From the work that arrives and the threshold in force when it was admitted,
// it estimates the demand without a threshold. It then admits as much of that
// demand as the target can serve, most important grades first.
package pacer

import (
	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
)

const (
	// targetUtilization is the fraction of the target's capacity that is admitted
	// while the queue is short.
	targetUtilization = 0.96
	// targetDelayMillis is the queueing delay that needs no correction. It keeps
	// the target busy while the threshold lags. It costs a chain little of its
	// objective: calls of chains that began earlier go first in the queue.
	targetDelayMillis = 40
	// shrinkMillis is the time in which a longer queue should shrink to
	// targetDelayMillis.
	shrinkMillis = 600
	// correctionStep is the largest change of the correction in a step. It's
	// reached when the delay exceeds targetDelayMillis by shrinkMillis.
	correctionStep = 0.05
	maxCorrection  = 0.15
	// idleCorrectionFactor is the factor of the correction in each step without a queue. The
	// target then has free slots, so that what the correction still holds back is refused
	// for nothing.
	idleCorrectionFactor = 0.75
	// minUtilization is the fraction of the target's capacity that is admitted
	// however long the queue is.
	minUtilization = 0.4
	// lagSteps is the number of past thresholds over which the admitted fraction
	// of the work that arrives now is averaged: a request makes its calls some
	// hundred milliseconds after its entry.
	lagSteps = 4
	// minPastAdmittedFraction is the smallest admitted fraction by which arrived
	// work is divided, so that the demand is at most 20 times as large.
	minPastAdmittedFraction = 0.05
	// smoothingFactor is the weight of a new step in the EWMA of the demand.
	smoothingFactor = 0.35
	// minDemand is the demand of a grade, as a fraction of the target's capacity,
	// up to which moveTowards treats the grade as having none.
	minDemand = 0.005
	// maxStepGrades bounds the change of the threshold in a step, in grades.
	maxStepGrades = 0.25
)

// Pacer controls the threshold of one gate. It isn't safe for concurrent use.
type Pacer struct {
	cutoff cutoff.Cutoff
	// past holds the thresholds of the last steps, the newest one first.
	past [lagSteps]cutoff.Cutoff
	// demand is the estimated work that would arrive of each grade without a
	// threshold, as a fraction of the target's capacity.
	demand [grade.Count]float64
	// correction is subtracted from the utilization. It grows while the queueing
	// delay exceeds targetDelayMillis, as when the estimated demand is too low, and
	// shrinks while it's below.
	correction float64
}

// New returns a pacer that admits everything.
func New() *Pacer {
	p := &Pacer{cutoff: cutoff.Full()}
	for i := range p.past {
		p.past[i] = cutoff.Full()
	}
	return p
}

// Step updates the threshold and returns it. Arrived is the work of each grade
// that arrived since the last step, as a fraction of the target's capacity in
// that time; delayMillis is the estimated queueing delay. It's called ten times a
// second.
func (p *Pacer) Step(arrived [grade.Count]float64, delayMillis float64) cutoff.Cutoff {
	for g, work := range arrived {
		demand := work / max(p.pastAdmittedFraction(grade.Grade(g)), minPastAdmittedFraction)
		p.demand[g] += (demand - p.demand[g]) * smoothingFactor
	}
	p.correction = min(max(p.correction+correctionStep*min(max((delayMillis-targetDelayMillis)/shrinkMillis, -1), 1), 0), maxCorrection)
	if delayMillis <= 0 {
		p.correction *= idleCorrectionFactor
	}
	utilization := targetUtilization - p.correction
	if delayMillis > targetDelayMillis {
		utilization = max(utilization-(delayMillis-targetDelayMillis)/shrinkMillis, minUtilization)
	}
	p.cutoff = p.moveTowards(cutoff.Fit(p.demand, utilization))
	copy(p.past[1:], p.past[:])
	p.past[0] = p.cutoff
	return p.cutoff
}

// Rescale adapts the estimated demand to another capacity of the target: ratio is
// the capacity before divided by that from now on.
func (p *Pacer) Rescale(ratio float64) {
	for g := range p.demand {
		p.demand[g] *= ratio
	}
}

// moveTowards returns the threshold changed towards the wanted one, by at most
// maxStepGrades. Beyond the least important grade with demand the threshold has no
// effect: a current threshold beyond it counts as one just there, and a wanted one
// that is reached there becomes Full.
func (p *Pacer) moveTowards(wanted cutoff.Cutoff) cutoff.Cutoff {
	demandedGrades := 0.0
	for g, work := range p.demand {
		if work > minDemand {
			demandedGrades = float64(g + 1)
		}
	}
	current := min(p.cutoff.Grades, demandedGrades)
	next := min(max(wanted.Grades, current-maxStepGrades), current+maxStepGrades)
	if wanted.Grades >= demandedGrades && next >= demandedGrades {
		return cutoff.Full()
	}
	return wanted.WithGrades(next)
}

// pastAdmittedFraction returns the mean admitted fraction of a grade over the last
// lagSteps steps, in which the work that arrives now was admitted.
func (p *Pacer) pastAdmittedFraction(g grade.Grade) float64 {
	sum := 0.0
	for _, c := range p.past {
		sum += c.AdmittedFraction(g)
	}
	return sum / lagSteps
}

// Cutoff returns the threshold.
func (p *Pacer) Cutoff() cutoff.Cutoff {
	return p.cutoff
}
