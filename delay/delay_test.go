package delay_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/delay"
	"bergamotloom.example/reason"
)

func TestRefusedCallersComeBackSpreadWhileAnAnswerIsWorthMost(t *testing.T) {
	first, last := 1e9, 0.0
	for i := range 100 {
		m := delay.Millis(reason.Overloaded, 6000, 1500, float64(i)/100)
		first, last = min(first, m), max(last, m)
	}
	assert.Assert(t, first < 100 && last > 700 && last <= 750, "%v to %v", first, last)
}

func TestCallerWhoIsLateAnywayWaitsAsLongAsItCan(t *testing.T) {
	assert.Assert(t, delay.Millis(reason.Overloaded, 3000, -200, 1) > 900)
}

func TestNobodyWaitsLongerThanAThirdOfTheTimeLeft(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		left := rapid.Float64Range(200, 10_000).Draw(r, "left")
		goal := rapid.Float64Range(-1000, 5000).Draw(r, "goal")
		why := rapid.SampledFrom([]reason.Reason{reason.Overloaded, reason.Leaving, reason.NoInstance, reason.TargetRefused}).Draw(r, "why")
		m := delay.Millis(why, left, goal, rapid.Float64Range(0, 1).Draw(r, "random"))
		if m <= 0 || m > left/3 {
			r.Fatalf("%v of %v", m, left)
		}
	})
}

func TestLostInstanceIsWorthATryAtOnce(t *testing.T) {
	assert.Equal(t, delay.Millis(reason.Leaving, 6000, 1500, 1), 200.0)
}
