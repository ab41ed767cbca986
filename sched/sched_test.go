package sched_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/grade"
	"bergamotloom.example/rank"
	"bergamotloom.example/sched"
)

func TestRequestsStartInTheOrderOfTheirRootsObjectives(t *testing.T) {
	startMillis := func(objectiveMillis float64, r rank.Rank) float64 {
		return sched.StartMillis(objectiveMillis, grade.New(0, false, r))
	}
	assert.Assert(t, startMillis(50, rank.Normal) < startMillis(100, rank.Normal))
	// A more important route goes first, other things being equal.
	assert.Assert(t, startMillis(100, rank.Critical) < startMillis(100, rank.Normal))
	// An overdue request goes after those that are close to their objectives.
	assert.Assert(t, startMillis(-1, rank.Normal) > startMillis(100, rank.Normal))
	assert.Assert(t, startMillis(-500, rank.Critical) > startMillis(100, rank.Critical))
	// It goes before requests that have much time left.
	assert.Assert(t, startMillis(-1, rank.Normal) < startMillis(1000, rank.Normal))
}
