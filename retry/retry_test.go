package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/ratio"
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
)

// fail runs a request whose calls all fail, depth levels deep with so many
// calls at each, and counts the runs at the deepest level.
func fail(a retry.Allowance, depth, width int, runs *int) retry.Allowance {
	if depth == 0 {
		*runs++
		return a
	}
	for i := range width {
		var child retry.Allowance
		a, child = a.Split(width - i)
		a = a.Merge(fail(child, depth-1, width, runs))
	}
	rest, again := a.Take()
	if !again {
		return a
	}
	return fail(rest, depth, width, runs)
}

func TestAllowanceIsConservedOverTheChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		granted := rapid.IntRange(0, 5).Draw(t, "granted")
		depth := rapid.IntRange(1, 6).Draw(t, "depth")
		runs := 0
		rest := fail(retry.New(granted), depth, 1, &runs)
		assert.Equal(t, runs, 1+granted)
		assert.Equal(t, rest.Left(), 0)
	})
}

func TestSixDeepChainStaysWithinTheRatio(t *testing.T) {
	const requests, start = 1000, 10
	budget := ratio.New(0.1, start)
	runs := 0
	for range requests {
		budget.Earn()
		rest := fail(retry.New(budget.Grant(3)), 6, 1, &runs)
		budget.Return(rest.Left())
	}
	assert.Assert(t, runs <= requests+requests/10+start, "%d runs", runs)
}

func TestSafe(t *testing.T) {
	assert.Assert(t, retry.Safe(runst.Never, false))
	assert.Assert(t, retry.Safe(runst.Maybe, true))
	assert.Assert(t, !retry.Safe(runst.Maybe, false))
	assert.Assert(t, !retry.Safe(runst.Once, false))
}

// decision returns a function that decides on one retry of a call.
func decision() func() {
	budget := ratio.New(0.1, 10)
	left := 0
	return func() {
		budget.Earn()
		rest, child := retry.New(3).Split(2)
		rest, ok := rest.Merge(child).Take()
		if ok && retry.Safe(runst.Never, false) && budget.Spend() {
			left = rest.Left()
		}
		budget.Return(left)
	}
}

func TestDecisionAllocatesNothing(t *testing.T) {
	assert.Equal(t, testing.AllocsPerRun(1000, decision()), 0.0)
}

func BenchmarkRetry(b *testing.B) {
	decide := decision()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
