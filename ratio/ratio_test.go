package ratio_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/ratio"
)

// Retries multiply along a chain of services if each service spends its budget
// without regard to the retries of the services above it. In a chain of four
// services that each fail half of their runs, the last one got 28 retries for
// 100 requests. Charging retries from above to the budget prevents that.
func TestChargedRetriesOfAChainStayWithinOneBudget(t *testing.T) {
	const retryRatio, depth, requests = 0.12, 4, 20_000
	random := rand.New(rand.NewPCG(1, 1))
	var budgets [depth]*ratio.Ratio
	for i := range budgets {
		budgets[i] = ratio.New(retryRatio, 5)
	}
	var arrivals, retries [depth]int
	var run func(level int, retried bool)
	run = func(level int, retried bool) {
		budgets[level].Earn()
		if retried {
			budgets[level].Charge()
		}
		for {
			arrivals[level]++
			if retried {
				retries[level]++
			}
			if level+1 < depth {
				run(level+1, retried)
			}
			if retried || random.Float64() < 0.5 || !budgets[level].Spend() {
				return
			}
			retried = true
		}
	}
	for range requests {
		run(0, false)
	}
	for level := range depth {
		fraction := float64(retries[level]) / float64(arrivals[level]-retries[level])
		// The bound is retryRatio with a tolerance.
		assert.Assert(t, fraction <= 0.2, "level %d: %v retries per first attempt", level, fraction)
	}
}
