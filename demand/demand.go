// Package demand measures the work that arrives at a gate, by grade and by root
// route.
package demand

import "bergamotloom.example/grade"

const (
	// smoothingFactor is the weight of a new tick in the EWMA of a root's
	// fraction.
	smoothingFactor = 0.3
	// minRootFraction is the smoothed fraction of the work below which a root is
	// removed.
	minRootFraction = 0.001
)

// Demand measures the work that arrives at one gate. It isn't safe for concurrent
// use.
type Demand struct {
	lastTickMillis float64
	// gradeMillis and rootMillis sum the estimated run times of the requests that
	// arrived since the last tick, by grade and by root route.
	gradeMillis [grade.Count]float64
	rootMillis  map[string]float64
	// rootFractions holds the EWMA of each root's fraction of the work.
	rootFractions map[string]float64
}

// New returns an empty Demand. Now, in milliseconds of the clock, is when the
// first tick begins.
func New(now float64) *Demand {
	return &Demand{lastTickMillis: now, rootMillis: make(map[string]float64), rootFractions: make(map[string]float64)}
}

// RecordArrival counts a request with its estimated run time in milliseconds.
func (d *Demand) RecordArrival(g grade.Grade, root string, runMillis float64) {
	d.gradeMillis[g] += runMillis
	d.rootMillis[root] += runMillis
}

// Tick returns the work of each grade that arrived since the last call, as a
// fraction of the capacity of a target that runs limit requests at once. Now is
// in milliseconds.
func (d *Demand) Tick(now, limit float64) [grade.Count]float64 {
	passedMillis := max(now-d.lastTickMillis, 1)
	fractions := d.gradeMillis
	sumMillis := 0.0
	for i, millis := range d.gradeMillis {
		sumMillis += millis
		fractions[i] = millis / (passedMillis * limit)
	}
	if sumMillis > 0 {
		d.updateRootFractions(sumMillis)
	}
	clear(d.rootMillis)
	d.gradeMillis = [grade.Count]float64{}
	d.lastTickMillis = now
	return fractions
}

// updateRootFractions adds the tick to the EWMA of each root's fraction and
// removes roots whose fraction has become negligible.
func (d *Demand) updateRootFractions(sumMillis float64) {
	for root := range d.rootMillis {
		if _, ok := d.rootFractions[root]; !ok {
			d.rootFractions[root] = 0
		}
	}
	for root, fraction := range d.rootFractions {
		d.rootFractions[root] += (d.rootMillis[root]/sumMillis - fraction) * smoothingFactor
		if d.rootFractions[root] < minRootFraction {
			delete(d.rootFractions, root)
		}
	}
}

// RootFractions returns each root's fraction of the work. The map is valid until
// the next Tick.
func (d *Demand) RootFractions() map[string]float64 {
	return d.rootFractions
}
