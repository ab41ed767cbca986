package ratio_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/ratio"
)

// A chain of four services, each of which fails as often as it's asked: with
// budgets that don't see the repeats from above, the last one got 28 repeats
// for 100 requests.
func TestChargedRepeatsOfAChainStayWithinOneBudget(t *testing.T) {
	const share, depth, requests = 0.12, 4, 20_000
	random := rand.New(rand.NewPCG(1, 1))
	var budgets [depth]*ratio.Ratio
	for i := range budgets {
		budgets[i] = ratio.New(share, 5)
	}
	var arrivals, repeats [depth]int
	var run func(level int, repeat bool)
	run = func(level int, repeat bool) {
		budgets[level].Earn()
		if repeat {
			budgets[level].Charge()
		}
		for {
			arrivals[level]++
			if repeat {
				repeats[level]++
			}
			if level+1 < depth {
				run(level+1, repeat)
			}
			if repeat || random.Float64() < 0.5 || !budgets[level].Spend() {
				return
			}
			repeat = true
		}
	}
	for range requests {
		run(0, false)
	}
	for level := range depth {
		part := float64(repeats[level]) / float64(arrivals[level]-repeats[level])
		assert.Assert(t, part <= 0.2, "level %d: %v", level, part)
	}
}
