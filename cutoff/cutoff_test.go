package cutoff_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/cutoff"
	"bergamotloom.example/grade"
	"bergamotloom.example/rank"
)

func TestImportantGradesAreAdmittedFirst(t *testing.T) {
	c := cutoff.New(4, 0.5)
	assert.Equal(t, c.AdmittedFraction(3), 1.0)
	assert.Equal(t, c.AdmittedFraction(4), 0.7)
	assert.Equal(t, c.AdmittedFraction(5), 0.1)
	assert.Equal(t, cutoff.Full().AdmittedFraction(8), 1.0)
}

func TestCriticalRoutesOfAllTeamsAreRefusedLast(t *testing.T) {
	// Sheddable requests of a critical team alone exceed the headroom.
	first := grade.New(rank.Critical, true, rank.Sheddable)
	other := grade.New(rank.Normal, true, rank.Critical)
	var demand [grade.Count]float64
	demand[first], demand[other] = 1.5, 0.3
	c := cutoff.Fit(demand, 1)
	assert.Assert(t, c.AdmittedFraction(other) >= 0.6, "%v", c.AdmittedFraction(other))
	assert.Assert(t, c.AdmittedFraction(first) > 0.5 && c.AdmittedFraction(first) < 0.6, "%v", c.AdmittedFraction(first))
	// Immediate retries of callers don't displace more important requests.
	demand = [grade.Count]float64{3: 0.4, 5: 8}
	c = cutoff.Fit(demand, 1)
	assert.Equal(t, c.AdmittedFraction(3), 1.0)
}

func TestFitUsesAllHeadroom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var demand [grade.Count]float64
		sum := 0.0
		for g := range demand {
			demand[g] = rapid.Float64Range(0, 2).Draw(r, "demand")
			sum += demand[g]
		}
		headroom := rapid.Float64Range(0.1, 1).Draw(r, "headroom")
		c := cutoff.Fit(demand, headroom)
		admitted := 0.0
		for g, work := range demand {
			admitted += work * c.AdmittedFraction(grade.Grade(g))
		}
		if want := min(sum, headroom); math.Abs(admitted-want) > 1e-3 {
			r.Fatalf("admitted %v, want %v", admitted, want)
		}
	})
}
