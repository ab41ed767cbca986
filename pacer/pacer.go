// Package pacer sets the admission threshold of a target's gate: how much of
// the callers' requests that need this target the entries should let in.
//
// From what arrives and from the threshold that was in force when it was let
// in, it works out what would arrive without a threshold, and lets in as much
// of that as the target can do, most important grades first.
package pacer

import (
	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
)

const (
	// fullPart of what the target can do is let in.
	fullPart = 0.96
	// waitMillis is the time in the line that needs no correction: enough that
	// the target isn't idle while the threshold lags, and little of an
	// objective, as chains that began earlier go first.
	waitMillis = 40
	// drainMillis is the time in which a longer line shall get back there.
	drainMillis = 600
	// trimStep is by how much a line longer by drainMillis adds to the trim in a
	// step, mostTrim what the trim is at most.
	trimStep = 0.05
	mostTrim = 0.15
	// leastPart of what the target can do is let in however long the line is.
	leastPart = 0.4
	// lagSteps is how long ago that was let in which arrives now, in steps: a
	// request makes its calls some hundred milliseconds after its entry.
	lagSteps = 4
	// leastApplied bounds by how much what arrives is scaled up.
	leastApplied = 0.05
	// smoothing is the weight of a new step in the estimated demand.
	smoothing = 0.35
	// leastDemand of a grade is what counts, in parts of what the target can do.
	leastDemand = 0.005
	// mostChange bounds one step of the threshold of a grade.
	mostChange = 0.25
)

// Pacer holds the threshold of one gate. It isn't safe for concurrent use.
type Pacer struct {
	cutoff cutoff.Cutoff
	// past holds the thresholds of the last steps, the newest one first.
	past [lagSteps]cutoff.Cutoff
	// demand is the work that would arrive of each grade without a threshold,
	// in parts of what the target can do.
	demand [grade.Count]float64
	// trim is held back for a line that doesn't get shorter otherwise.
	trim float64
}

// New returns a pacer that lets everything in.
func New() *Pacer {
	p := &Pacer{cutoff: cutoff.Full()}
	for i := range p.past {
		p.past[i] = cutoff.Full()
	}
	return p
}

// Step moves the threshold. Arrived is the work that arrived of each grade, in
// parts of what the target could do in the time; waiting is how long the line
// takes, in milliseconds.
func (p *Pacer) Step(arrived [grade.Count]float64, waiting float64) cutoff.Cutoff {
	for g, work := range arrived {
		raw := work / max(p.applied(grade.Grade(g)), leastApplied)
		p.demand[g] += (raw - p.demand[g]) * smoothing
	}
	p.trim = min(max(p.trim+trimStep*min(max((waiting-waitMillis)/drainMillis, -1), 1), 0), mostTrim)
	room := fullPart - p.trim
	if waiting > waitMillis {
		room = max(room-(waiting-waitMillis)/drainMillis, leastPart)
	}
	p.cutoff = p.approach(cutoff.Fit(p.demand, room))
	copy(p.past[1:], p.past[:])
	p.past[0] = p.cutoff
	return p.cutoff
}

// approach moves the threshold towards the wanted one. Above the last grade
// that there's demand of, it makes no difference where it is.
func (p *Pacer) approach(wanted cutoff.Cutoff) cutoff.Cutoff {
	top := 0.0
	for g, work := range p.demand {
		if work > leastDemand {
			top = float64(g + 1)
		}
	}
	now := min(p.cutoff.Grades, top)
	next := min(max(wanted.Grades, now-mostChange), now+mostChange)
	if wanted.Grades >= top && next >= top {
		return cutoff.Full()
	}
	return wanted.WithGrades(next)
}

// applied returns the share of a grade that was let in when what arrives now
// came to the entries.
func (p *Pacer) applied(g grade.Grade) float64 {
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
