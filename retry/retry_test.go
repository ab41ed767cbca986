package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/ratio"
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
)

// runFailing runs a request whose calls all fail, in a chain of the given depth
// with width calls at each level. It counts the runs at the deepest level and
// returns the unused allowance.
func runFailing(a retry.Allowance, depth, width int, runs *int) retry.Allowance {
	if depth == 0 {
		*runs++
		return a
	}
	for i := range width {
		var child retry.Allowance
		a, child = a.Split(width - i)
		a = a.Merge(runFailing(child, depth-1, width, runs))
	}
	remaining, ok := a.Take()
	if !ok {
		return a
	}
	return runFailing(remaining, depth, width, runs)
}

func TestAllowanceIsConservedOverTheChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		granted := rapid.IntRange(0, 5).Draw(t, "granted")
		depth := rapid.IntRange(1, 6).Draw(t, "depth")
		runs := 0
		remaining := runFailing(retry.New(granted), depth, 1, &runs)
		assert.Equal(t, runs, 1+granted)
		assert.Equal(t, remaining.Left(), 0)
	})
}

func TestRetriesOfDeepChainStayWithinBudget(t *testing.T) {
	const requests, maxSaved = 1000, 10
	budget := ratio.New(0.1, maxSaved)
	runs := 0
	for range requests {
		budget.Earn()
		remaining := runFailing(retry.New(budget.Grant(3)), 6, 1, &runs)
		budget.Return(remaining.Left())
	}
	assert.Assert(t, runs <= requests+requests/10+maxSaved, "%d runs", runs)
}

func TestSafe(t *testing.T) {
	assert.Assert(t, retry.Safe(runst.Never, false))
	assert.Assert(t, retry.Safe(runst.Maybe, true))
	assert.Assert(t, !retry.Safe(runst.Maybe, false))
	assert.Assert(t, !retry.Safe(runst.Once, false))
}

// newDecision returns a function that decides on one retry of a call.
func newDecision() func() {
	budget := ratio.New(0.1, 10)
	left := 0
	return func() {
		budget.Earn()
		remaining, child := retry.New(3).Split(2)
		remaining, ok := remaining.Merge(child).Take()
		if ok && retry.Safe(runst.Never, false) && budget.Spend() {
			left = remaining.Left()
		}
		budget.Return(left)
	}
}

func TestDecisionAllocatesNothing(t *testing.T) {
	assert.Equal(t, testing.AllocsPerRun(1000, newDecision()), 0.0)
}

func BenchmarkRetry(b *testing.B) {
	decide := newDecision()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
