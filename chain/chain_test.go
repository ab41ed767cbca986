//go:build !race

// These tests take minutes under the race detector, and each simulation has a
// single goroutine, so `make test` runs them without it.

package chain_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bergamotloom.example/chain"
)

// Each pattern is simulated with all of these seeds.
var seeds = []uint64{1, 2, 3}

// maxWrongful is the promised bound on the fraction of requests refused while
// there's capacity. It's also the tolerance where the worth of two controls may be
// equal.
const maxWrongful = 0.001

// outcomes holds the outcomes that tests share, as a simulation takes a second or
// two.
var outcomes sync.Map

func run(t *testing.T, pattern, control string, seed uint64) chain.Outcome {
	t.Helper()
	once, _ := outcomes.LoadOrStore(fmt.Sprint(pattern, control, seed), sync.OnceValues(func() (chain.Outcome, error) {
		return chain.Run(pattern, control, seed)
	}))
	get, ok := once.(func() (chain.Outcome, error))
	assert.Assert(t, ok)
	o, err := get()
	assert.NilError(t, err)
	return o
}

// mean returns the mean of a measure over all seeds.
func mean(t *testing.T, pattern, control string, measure func(chain.Outcome) float64) float64 {
	t.Helper()
	sum := 0.0
	for _, s := range seeds {
		sum += measure(run(t, pattern, control, s))
	}
	return sum / float64(len(seeds))
}

func worth(o chain.Outcome) float64 { return o.Worth }

// Without overload, the control refuses and delays next to nothing.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	t.Parallel()
	for _, s := range seeds {
		o := run(t, "calm", "loom", s)
		assert.Check(t, o.Refused+o.Failed <= maxWrongful && o.Late <= maxWrongful, "requests refused, failed or late without overload: %+v", o)
	}
}

// In every pattern, thresholds reported to the entries reach at least the worth of
// gates alone, and more than no control. The worth stays within the bound.
func TestEachControlMechanismRaisesWorth(t *testing.T) {
	t.Parallel()
	for _, p := range chain.Patterns() {
		t.Run(p, func(t *testing.T) {
			t.Parallel()
			loom := mean(t, p, "loom", worth)
			gates := mean(t, p, "gates", worth)
			none := mean(t, p, "none", worth)
			bound := mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Bound })
			t.Logf("worth: none %.3f, gates %.3f, loom %.3f, bound %.3f", none, gates, loom, bound)
			assert.Check(t, loom >= gates-maxWrongful, "worth under gates %.3f, under loom %.3f", gates, loom)
			assert.Check(t, loom > none, "worth under none %.3f, under loom %.3f", none, loom)
			// Requests sent just before the start or end of the disturbance find more
			// capacity than the bound assumes.
			assert.Check(t, loom <= bound+0.02, "bound of the worth %.3f, worth under loom %.3f", bound, loom)
		})
	}
}

// Under overload, thresholds serve more than two other admission mechanisms at
// the entry, though these know in advance what each request takes.
func TestThresholdsServeMoreThanSharesAndPrices(t *testing.T) {
	t.Parallel()
	for _, p := range []string{"burst", "hasty", "half", "fresh", "lost"} {
		loom := mean(t, p, "loom", worth)
		for _, other := range []string{"shares", "prices"} {
			theirs := mean(t, p, other, worth)
			t.Logf("%s: worth under loom %.3f, under %s %.3f", p, loom, other, theirs)
			assert.Check(t, loom > theirs, "%s: worth under loom %.3f, under %s %.3f", p, loom, other, theirs)
		}
	}
}

// When instances are lost during a burst, requests that have already missed their
// objective don't delay others past theirs.
func TestOverdueRequestsDontDelayOthers(t *testing.T) {
	t.Parallel()
	for _, p := range []string{"lost", "half"} {
		byObjective := mean(t, p, "before", worth)
		loom := mean(t, p, "loom", worth)
		t.Logf("%s: worth %.3f with the start order by objective, %.3f with loom", p, byObjective, loom)
		assert.Check(t, loom > byObjective, "%s: worth %.3f with the start order by objective, %.3f with loom", p, byObjective, loom)
		late := func(o chain.Outcome) float64 { return o.Late }
		assert.Check(t, mean(t, p, "loom", late) < mean(t, p, "before", late))
	}
}

// Critical requests are refused last.
func TestImportantRequestsAreRefusedLast(t *testing.T) {
	t.Parallel()
	for _, p := range []string{"burst", "hasty", "half", "fresh"} {
		buy := mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Served["buy"] })
		browse := mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Served["browse"] })
		assert.Check(t, buy > 0.95 && browse < buy, "%s: served fraction of buy %.3f, of browse %.3f", p, buy, browse)
		// No kind is starved: each gets at least a quarter of the average.
		assert.Check(t, browse > 0.25*(1-mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Refused + o.Failed })), "%s: served fraction of browse %.3f", p, browse)
	}
}

func TestEqualSeedsGiveEqualOutcomes(t *testing.T) {
	t.Parallel()
	first, err := chain.Run("lost", "loom", 1)
	assert.NilError(t, err)
	second, err := chain.Run("lost", "loom", 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}

func TestUnknownNamesAreErrors(t *testing.T) {
	_, err := chain.Run("none such", "loom", 1)
	assert.ErrorContains(t, err, "unknown pattern")
	_, err = chain.Run("calm", "none such", 1)
	assert.ErrorContains(t, err, "unknown control")
}

func TestTable(t *testing.T) {
	var b strings.Builder
	chain.WriteTable(&b, []chain.Outcome{
		{Pattern: "burst", Control: "none", Worth: 0.5, Bound: 0.9, Served: map[string]float64{"buy": 0.25}, TailMillis: 2400},
	})
	golden.Assert(t, b.String(), "table.golden")
}
