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
	// Grade 4 gets its minimum fraction of 0.4 and half of the rest.
	assert.Equal(t, c.AdmittedFraction(3), 1.0)
	assert.Equal(t, c.AdmittedFraction(4), 0.7)
	assert.Equal(t, c.AdmittedFraction(5), 0.1)
	assert.Equal(t, cutoff.Full().AdmittedFraction(8), 1.0)
}

func TestCriticalRoutesOfAllTeamsAreRefusedLast(t *testing.T) {
	// Sheddable requests of a critical team alone exceed the headroom.
	sheddable := grade.New(rank.Critical, true, rank.Sheddable)
	critical := grade.New(rank.Normal, true, rank.Critical)
	var demand [grade.Count]float64
	demand[sheddable], demand[critical] = 1.5, 0.3
	c := cutoff.Fit(demand, 1)
	assert.Assert(t, c.AdmittedFraction(critical) >= 0.6, "%v", c.AdmittedFraction(critical))
	assert.Assert(t, c.AdmittedFraction(sheddable) > 0.5 && c.AdmittedFraction(sheddable) < 0.6, "%v", c.AdmittedFraction(sheddable))
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
