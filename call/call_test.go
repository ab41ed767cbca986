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

// However a target calls, at once or one after the other, and whatever fails,
// the retries used, lent and left never exceed the allowance.
func TestACallsAllowanceIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(0, envel.MaxAllowance).Draw(t, "allowance")
		c := call.New(t.Context(), clock.New(), "token", envel.Envelope{Allowance: start, TimeoutMillis: 1})
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
				back := rapid.IntRange(0, lent[0].Left()).Draw(t, "back")
				used += lent[0].Left() - back
				c.EndChild(retry.New(back))
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
			assert.Equal(t, total, start)
		}
		assert.Assert(t, c.AllowChild("another"), "a first send is free")
	})
}
