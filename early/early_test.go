package early_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/early"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

func TestFilterFollowsReportedThresholdsAndReopens(t *testing.T) {
	c, advance := clock.NewManual(0)
	f := early.New(c)
	for range 30 {
		f.RecordResponse("browse", "a", "stock", level.New(rank.Normal, 0.5), level.New(rank.Normal, 0.5))
		f.RecordResponse("browse", "b", "stock", level.New(rank.Normal, 0.5), level.New(rank.Normal, 0.25))
	}
	_, ok := f.Admits("browse", "a", rank.Critical, 0.999)
	assert.Assert(t, ok)
	_, ok = f.Admits("browse", "a", rank.Sheddable, 0)
	assert.Assert(t, !ok)
	fraction, ok := f.Admits("browse", "a", rank.Normal, 0.3)
	assert.Assert(t, ok && fraction > 0.49 && fraction < 0.52, "admitted fraction %v", fraction)
	_, ok = f.Admits("browse", "b", rank.Normal, 0.3)
	assert.Assert(t, !ok)
	_, ok = f.Admits("pay", "a", rank.Sheddable, 0.999)
	assert.Assert(t, ok)
	advance(10_000)
	_, ok = f.Admits("browse", "b", rank.Sheddable, 0.999)
	assert.Assert(t, ok)
}

func TestRoutesShareTheThresholdOfAServiceAndReopenTogether(t *testing.T) {
	c, _ := clock.NewManual(0)
	f := early.New(c)
	restricted := level.New(rank.Critical, 0.5)
	f.RecordResponse("pay", "a", "ledger", restricted, restricted)
	f.RecordResponse("browse", "a", "ledger", restricted, restricted)
	for range 30 {
		f.RecordResponse("pay", "a", "ledger", restricted, restricted)
	}
	_, ok := f.Admits("browse", "a", rank.Sheddable, 0)
	assert.Assert(t, !ok)
	// Responses on pay must reopen browse, too.
	for range 30 {
		f.RecordResponse("pay", "a", "", level.Full, level.Full)
	}
	_, ok = f.Admits("browse", "a", rank.Sheddable, 0.9)
	assert.Assert(t, ok)
}

// decideAndRecord returns a function that decides on a request and records
// its response.
func decideAndRecord() func() {
	c, _ := clock.NewManual(0)
	f := early.New(c)
	return func() {
		f.Admits("browse", "a", rank.Normal, 0.5)
		f.RecordResponse("browse", "a", "stock", level.New(rank.Normal, 0.5), level.New(rank.Normal, 0.25))
	}
}

func TestDecisionAllocatesNothing(t *testing.T) {
	decide := decideAndRecord()
	decide()
	assert.Equal(t, testing.AllocsPerRun(1000, decide), 0.0)
}

func BenchmarkDecision(b *testing.B) {
	decide := decideAndRecord()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
