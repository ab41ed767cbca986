package inbnd

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/grade"
	"bergamotloom.example/rank"
	"bergamotloom.example/trip"
)

func TestRequestsTakeTurnsByTheirCallersObjectives(t *testing.T) {
	turn := func(goal float64, r rank.Rank) float64 {
		return turnMillis(trip.Trip{GoalMillis: goal, Grade: grade.New(0, false, r)})
	}
	assert.Assert(t, turn(50, rank.Normal) < turn(100, rank.Normal))
	// A more important route goes first, other things being equal.
	assert.Assert(t, turn(100, rank.Critical) < turn(100, rank.Normal))
	// One that has missed its objective goes after those that are about to.
	assert.Assert(t, turn(-1, rank.Normal) > turn(100, rank.Normal))
	assert.Assert(t, turn(-500, rank.Critical) > turn(100, rank.Critical))
	// It doesn't wait behind all that have much time.
	assert.Assert(t, turn(-1, rank.Normal) < turn(1000, rank.Normal))
}
