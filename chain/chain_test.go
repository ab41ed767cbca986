//go:build !race

// The runs take minutes under the race detector, and there's one goroutine in
// each: `make test` runs them without it.

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

// seeds are those that each pattern is played with.
var seeds = []uint64{1, 2, 3}

// mostWrongful is the promised bound on what is refused while there's capacity.
const mostWrongful = 0.001

// played holds what tests share: a play takes a second or two.
var played sync.Map

func play(t *testing.T, pattern, control string, seed uint64) chain.Outcome {
	t.Helper()
	once, _ := played.LoadOrStore(fmt.Sprint(pattern, control, seed), sync.OnceValues(func() (chain.Outcome, error) {
		return chain.Run(pattern, control, seed)
	}))
	get, ok := once.(func() (chain.Outcome, error))
	assert.Assert(t, ok)
	o, err := get()
	assert.NilError(t, err)
	return o
}

// mean plays a pattern with all seeds.
func mean(t *testing.T, pattern, control string, of func(chain.Outcome) float64) float64 {
	t.Helper()
	sum := 0.0
	for _, s := range seeds {
		sum += of(play(t, pattern, control, s))
	}
	return sum / float64(len(seeds))
}

func worth(o chain.Outcome) float64 { return o.Worth }

// On a calm day control costs nobody anything.
func TestCalmDayIsServedWhole(t *testing.T) {
	t.Parallel()
	for _, s := range seeds {
		o := play(t, "calm", "loom", s)
		assert.Check(t, o.Refused+o.Failed <= mostWrongful && o.Late <= mostWrongful, "%+v", o)
	}
}

// In every pattern thresholds that go back to the entries serve more than gates
// alone, and these more than no control; no answer is worth more than the bound.
func TestEachPartOfTheControlServesMore(t *testing.T) {
	t.Parallel()
	for _, p := range chain.Patterns() {
		t.Run(p, func(t *testing.T) {
			t.Parallel()
			loom := mean(t, p, "loom", worth)
			gates := mean(t, p, "gates", worth)
			none := mean(t, p, "none", worth)
			bound := mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Bound })
			t.Logf("none %.3f, gates %.3f, loom %.3f of %.3f", none, gates, loom, bound)
			assert.Check(t, loom >= gates-mostWrongful, "gates %.3f, loom %.3f", gates, loom)
			assert.Check(t, loom > none, "none %.3f, loom %.3f", none, loom)
			// Requests at the edges of the cause meet more room than it has.
			assert.Check(t, loom <= bound+0.02, "bound %.3f, loom %.3f", bound, loom)
		})
	}
}

// Thresholds serve more under overload than two other ways to decide at the
// entry, though these know in advance what each request takes.
func TestThresholdsServeMoreThanSharesAndPrices(t *testing.T) {
	t.Parallel()
	for _, p := range []string{"burst", "hasty", "half", "fresh", "lost"} {
		loom := mean(t, p, "loom", worth)
		for _, other := range []string{"shares", "prices"} {
			theirs := mean(t, p, other, worth)
			t.Logf("%s: %.3f, %s %.3f", p, loom, other, theirs)
			assert.Check(t, loom > theirs, "%s: %.3f, %s %.3f", p, loom, other, theirs)
		}
	}
}

// When instances are lost during a burst, requests that have missed their
// objective don't make those behind them miss theirs.
func TestOverdueRequestsMakeNoOthersLate(t *testing.T) {
	t.Parallel()
	for _, p := range []string{"lost", "half"} {
		before := mean(t, p, "before", worth)
		now := mean(t, p, "loom", worth)
		t.Logf("%s: %.3f before, %.3f now", p, before, now)
		assert.Check(t, now > before, "%s: %.3f before, %.3f now", p, before, now)
		late := func(o chain.Outcome) float64 { return o.Late }
		assert.Check(t, mean(t, p, "loom", late) < mean(t, p, "before", late))
	}
}

// The important kind is refused last.
func TestImportantRequestsAreRefusedLast(t *testing.T) {
	t.Parallel()
	for _, p := range []string{"burst", "hasty", "half", "fresh"} {
		buy := mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Served["buy"] })
		browse := mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Served["browse"] })
		assert.Check(t, buy > 0.95 && browse < buy, "%s: buy %.3f, browse %.3f", p, buy, browse)
		// No kind gets nothing: a quarter of what all get on average.
		assert.Check(t, browse > 0.25*(1-mean(t, p, "loom", func(o chain.Outcome) float64 { return o.Refused + o.Failed })), "%s: %.3f", p, browse)
	}
}

func TestSameSeedTakesTheSameCourse(t *testing.T) {
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
