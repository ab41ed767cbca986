package card_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/grade"
)

// In a large fleet, the cards of limited targets are relayed first.
func TestRateLimitedTargetCountsAsLimited(t *testing.T) {
	c := card.Card{Target: "t", Cutoff: grade.Count, MinFractionScale: 1}
	assert.Assert(t, !c.Limited())
	c.RateLimit = 5
	assert.Assert(t, c.Limited())
}
