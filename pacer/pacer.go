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
	// queueDelayMillis is the queueing delay that needs no correction. It keeps
	// the target busy while the threshold lags, and takes little of an
	// objective, because chains that began earlier go first.
	queueDelayMillis = 40
	// drainMillis is the time in which a longer queue should shrink to
	// queueDelayMillis.
	drainMillis = 600
	// trimStep is how much a queueing delay of drainMillis above
	// queueDelayMillis adds to the trim in a step, maxTrim the largest trim.
	trimStep = 0.05
	maxTrim  = 0.15
	// minUtilization is the fraction of the target's capacity that is admitted
	// however long the queue is.
	minUtilization = 0.4
	// lagSteps is how many steps pass between the admission of a request and
	// the arrival of its work: a request makes its calls some hundred
	// milliseconds after its entry.
	lagSteps = 4
	// minAppliedFraction bounds the factor by which the arrived work is scaled
	// up to the demand.
	minAppliedFraction = 0.05
	// smoothingFactor is the weight of a new step in the EWMA of the demand.
	smoothingFactor = 0.35
	// minDemand is the demand of a grade, as a fraction of the target's capacity,
	// below which it is ignored.
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
	// trim is subtracted from the utilization while the queue doesn't shrink
	// otherwise, as when the estimated demand is too low.
	trim float64
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
// that time; delayMillis is the estimated queueing delay.
func (p *Pacer) Step(arrived [grade.Count]float64, delayMillis float64) cutoff.Cutoff {
	for g, work := range arrived {
		demand := work / max(p.appliedFraction(grade.Grade(g)), minAppliedFraction)
		p.demand[g] += (demand - p.demand[g]) * smoothingFactor
	}
	p.trim = min(max(p.trim+trimStep*min(max((delayMillis-queueDelayMillis)/drainMillis, -1), 1), 0), maxTrim)
	headroom := targetUtilization - p.trim
	if delayMillis > queueDelayMillis {
		headroom = max(headroom-(delayMillis-queueDelayMillis)/drainMillis, minUtilization)
	}
	p.cutoff = p.moveTowards(cutoff.Fit(p.demand, headroom))
	copy(p.past[1:], p.past[:])
	p.past[0] = p.cutoff
	return p.cutoff
}

// moveTowards returns the threshold one step closer to the wanted one. Above the
// least important grade with demand the threshold has no effect, so that it
// starts from there or becomes the full one at once.
func (p *Pacer) moveTowards(wanted cutoff.Cutoff) cutoff.Cutoff {
	lastGrade := 0.0
	for g, work := range p.demand {
		if work > minDemand {
			lastGrade = float64(g + 1)
		}
	}
	current := min(p.cutoff.Grades, lastGrade)
	next := min(max(wanted.Grades, current-maxStepGrades), current+maxStepGrades)
	if wanted.Grades >= lastGrade && next >= lastGrade {
		return cutoff.Full()
	}
	return wanted.WithGrades(next)
}

// appliedFraction returns the admitted fraction of a grade that was in force when
// the work that arrives now passed the entries.
func (p *Pacer) appliedFraction(g grade.Grade) float64 {
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
