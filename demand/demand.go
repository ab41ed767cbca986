// Package demand holds what arrives at a gate: how much work of each grade, and
// for which callers' requests.
package demand

import "bergamotloom.example/grade"

const (
	// smoothing is the weight of a new step in the mean of a root's part.
	smoothing = 0.3
	// forgetPart is the part below which a root is forgotten.
	forgetPart = 0.001
)

// Demand is what arrived at one gate. It isn't safe for concurrent use.
type Demand struct {
	at      float64
	arrived [grade.Count]float64
	roots   map[string]float64
	// uses is the part of the work that each root makes, a mean over some
	// steps.
	uses map[string]float64
}

// New returns a demand that is counted from now on.
func New(now float64) *Demand {
	return &Demand{at: now, roots: make(map[string]float64), uses: make(map[string]float64)}
}

// RecordArrival counts a request that takes so long.
func (d *Demand) RecordArrival(g grade.Grade, root string, runMillis float64) {
	d.arrived[g] += runMillis
	d.roots[root] += runMillis
}

// Tick returns what arrived since the last one of each grade, in parts of what
// limit requests at a time can get done.
func (d *Demand) Tick(now, limit float64) [grade.Count]float64 {
	passed := max(now-d.at, 1)
	parts := d.arrived
	sum := 0.0
	for i, a := range d.arrived {
		sum += a
		parts[i] = a / (passed * limit)
	}
	if sum > 0 {
		d.learn(sum)
	}
	clear(d.roots)
	d.arrived = [grade.Count]float64{}
	d.at = now
	return parts
}

// learn updates the roots' parts of the work.
func (d *Demand) learn(sum float64) {
	for root := range d.roots {
		if _, ok := d.uses[root]; !ok {
			d.uses[root] = 0
		}
	}
	for root, part := range d.uses {
		d.uses[root] += (d.roots[root]/sum - part) * smoothing
		if d.uses[root] < forgetPart {
			delete(d.uses, root)
		}
	}
}

// RootFractions returns the part of the work that each root makes. It's valid until the
// next Tick.
func (d *Demand) RootFractions() map[string]float64 {
	return d.uses
}
