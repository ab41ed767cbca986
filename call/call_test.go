package call_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/call"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/retry"
)

// Guards against retries gained or lost: whether a target calls in parallel or
// in sequence, and whatever fails, the retries used, lent and left always sum up
// to the allowance.
func TestCallAllowanceIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(0, envel.MaxAllowance).Draw(t, "allowance")
		c := call.New(t.Context(), clock.New(), "token", envel.Envelope{Allowance: allowance, TimeoutMillis: 1})
		// From now on, AllowChild("call") is a retry.
		c.ChildFailed("call")
		var lent []retry.Allowance
		used := 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				lent = append(lent, c.BeginChild())
			case 1:
				if len(lent) == 0 {
					continue
				}
				unused := rapid.IntRange(0, lent[0].Left()).Draw(t, "unused")
				used += lent[0].Left() - unused
				c.EndChild(retry.New(unused))
				lent = lent[1:]
			default:
				if c.AllowChild("call") {
					used++
				}
			}
			total := used + c.UnusedAllowance()
			for _, l := range lent {
				total += l.Left()
			}
			assert.Equal(t, total, allowance)
		}
		assert.Assert(t, c.AllowChild("another"), "a first attempt must not need the allowance")
	})
}
