package sched_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/grade"
	"bergamotloom.example/rank"
	"bergamotloom.example/sched"
)

func TestRequestsTakeTurnsByTheirCallersObjectives(t *testing.T) {
	millis := func(goal float64, r rank.Rank) float64 {
		return sched.StartMillis(goal, grade.New(0, false, r))
	}
	assert.Assert(t, millis(50, rank.Normal) < millis(100, rank.Normal))
	// A more important route goes first, other things being equal.
	assert.Assert(t, millis(100, rank.Critical) < millis(100, rank.Normal))
	// One that has missed its objective goes after those that are about to.
	assert.Assert(t, millis(-1, rank.Normal) > millis(100, rank.Normal))
	assert.Assert(t, millis(-500, rank.Critical) > millis(100, rank.Critical))
	// It doesn't wait behind all that have much time.
	assert.Assert(t, millis(-1, rank.Normal) < millis(1000, rank.Normal))
}
