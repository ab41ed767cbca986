// Package pacer sets the admission threshold of a target's gate: how much of
// the callers' requests that need this target the entries should let in.
//
// It compares what arrives with what the target can do, so that it reacts
// before the line at the gate has grown long, and the line itself, so that an
// estimate that is off doesn't add up.
package pacer

import (
	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
)

const (
	// fullPart of what the target can do is let in.
	fullPart = 0.95
	// waitMillis is the time in the line at which the threshold stays. A chain
	// of ten calls then waits ten times as long, within an objective of 1.5 s.
	waitMillis = 25
	// drainMillis is the time in which a longer line shall get back there.
	drainMillis = 600
	// gain is the part of the error that one step corrects: a change of the
	// threshold shows only some steps later, when the calls arrive.
	gain = 0.18
	// mostDown and mostUp bound one step, as a part of the threshold's share.
	mostDown = 0.3
	mostUp   = 0.15
	// leastUp lets a closed threshold open again.
	leastUp = 0.01
	// leastPart is the least part of the arrivals that the step counts with.
	leastPart = 0.1
	// closedShare is the share at which the next grade is held back too.
	closedShare = 0.02
)

// Pacer holds the threshold of one gate. It isn't safe for concurrent use.
type Pacer struct {
	// at is the grade that is admitted in part, share the part.
	at    grade.Grade
	share float64
}

// New returns a pacer that lets everything in.
func New() *Pacer {
	return &Pacer{at: grade.Count - 1, share: 1}
}

// Step moves the threshold. Offered is the work that arrives in a time, in
// parts of what the target could do in it; waiting is how long the line takes,
// in milliseconds; parts is how much of the arriving work each grade makes.
func (p *Pacer) Step(offered, waiting float64, parts [grade.Count]float64) cutoff.Cutoff {
	off := offered - fullPart
	if waiting > waitMillis {
		off += (waiting - waitMillis) / drainMillis
	}
	change := -gain * off / max(parts[p.at], leastPart)
	change = min(max(change, -mostDown), mostUp)
	if change > 0 {
		p.raise(change)
	} else {
		p.lower(-change)
	}
	return p.Cutoff()
}

func (p *Pacer) raise(change float64) {
	p.share = min(p.share*(1+change)+leastUp, 1)
	if p.share == 1 && p.at < grade.Count-1 {
		p.at++
		p.share = closedShare
	}
}

func (p *Pacer) lower(change float64) {
	p.share *= 1 - change
	if p.share >= closedShare {
		return
	}
	if p.at > 0 {
		p.at--
		p.share = 1
		return
	}
	p.share = closedShare
}

// Cutoff returns the threshold.
func (p *Pacer) Cutoff() cutoff.Cutoff {
	return cutoff.New(p.at, p.share)
}
