package demand_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/demand"
	"bergamotloom.example/grade"
)

func TestTickReturnsFractionsOfTheCapacity(t *testing.T) {
	d := demand.New(0)
	for range 30 {
		d.RecordArrival(grade.Grade(2), "order", 20)
	}
	d.RecordArrival(grade.Grade(5), "stock", 100)
	got := d.Tick(100, 10)
	assert.Assert(t, math.Abs(got[2]-0.6) < 1e-9 && math.Abs(got[5]-0.1) < 1e-9, "%v", got)
	assert.DeepEqual(t, d.Tick(200, 10), [grade.Count]float64{})
}

func TestRootsWithoutRequestsAreRemoved(t *testing.T) {
	d := demand.New(0)
	for step := range 40 {
		d.RecordArrival(0, "order", 20)
		if step < 20 {
			d.RecordArrival(0, "stock", 60)
		}
		if step == 19 {
			assert.Assert(t, d.RootFractions()["stock"] > 0.7, "%v", d.RootFractions())
		}
		d.Tick(float64(step+1)*100, 10)
	}
	_, listed := d.RootFractions()["stock"]
	assert.Assert(t, !listed)
	assert.Assert(t, d.RootFractions()["order"] > 0.99)
	// A tick without work leaves the fractions unchanged.
	d.Tick(10_000, 10)
	assert.Assert(t, d.RootFractions()["order"] > 0.99)
}
