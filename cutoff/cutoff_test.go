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

func TestImportantGradesAreLetInFirst(t *testing.T) {
	c := cutoff.New(4, 0.5)
	assert.Equal(t, c.AdmittedFraction(3), 1.0)
	assert.Equal(t, c.AdmittedFraction(4), 0.7)
	assert.Equal(t, c.AdmittedFraction(5), 0.1)
	assert.Equal(t, cutoff.Full().AdmittedFraction(8), 1.0)
}

func TestWhatMattersToEveryTeamIsRefusedLast(t *testing.T) {
	// The browsing of a team that goes first fills the room.
	first := grade.New(rank.Critical, true, rank.Sheddable)
	other := grade.New(rank.Normal, true, rank.Critical)
	var demand [grade.Count]float64
	demand[first], demand[other] = 1.5, 0.3
	c := cutoff.Fit(demand, 1)
	assert.Assert(t, c.AdmittedFraction(other) >= 0.6, "%v", c.AdmittedFraction(other))
	assert.Assert(t, c.AdmittedFraction(first) > 0.5 && c.AdmittedFraction(first) < 0.6, "%v", c.AdmittedFraction(first))
	// Callers that repeat at once don't take the room of what matters more.
	demand = [grade.Count]float64{3: 0.4, 5: 8}
	c = cutoff.Fit(demand, 1)
	assert.Equal(t, c.AdmittedFraction(3), 1.0)
}

func TestFitFillsTheRoom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var demand [grade.Count]float64
		sum := 0.0
		for g := range demand {
			demand[g] = rapid.Float64Range(0, 2).Draw(r, "demand")
			sum += demand[g]
		}
		room := rapid.Float64Range(0.1, 1).Draw(r, "room")
		c := cutoff.Fit(demand, room)
		in := 0.0
		for g, work := range demand {
			in += work * c.AdmittedFraction(grade.Grade(g))
		}
		if want := min(sum, room); math.Abs(in-want) > 1e-3 {
			r.Fatalf("%v is let in of %v", in, want)
		}
	})
}
