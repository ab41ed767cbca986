package early_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/early"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

func TestFilterFollowsAnswersAndOpensAgain(t *testing.T) {
	c, advance := clock.NewManual(0)
	f := early.New(c)
	for range 30 {
		f.Learn("browse", "a", "stock", level.New(rank.Normal, 0.5), level.New(rank.Normal, 0.5))
		f.Learn("browse", "b", "stock", level.New(rank.Normal, 0.5), level.New(rank.Normal, 0.25))
	}
	_, ok := f.Admits("browse", "a", rank.Critical, 0.999)
	assert.Assert(t, ok)
	_, ok = f.Admits("browse", "a", rank.Sheddable, 0)
	assert.Assert(t, !ok)
	share, ok := f.Admits("browse", "a", rank.Normal, 0.3)
	assert.Assert(t, ok && share > 0.49 && share < 0.52, "share %v", share)
	_, ok = f.Admits("browse", "b", rank.Normal, 0.3)
	assert.Assert(t, !ok)
	_, ok = f.Admits("pay", "a", rank.Sheddable, 0.999)
	assert.Assert(t, ok)
	advance(10_000)
	_, ok = f.Admits("browse", "b", rank.Sheddable, 0.999)
	assert.Assert(t, ok)
}

func TestOneRouteLearnsForAllThroughTheService(t *testing.T) {
	c, _ := clock.NewManual(0)
	f := early.New(c)
	closed := level.New(rank.Critical, 0.5)
	f.Learn("pay", "a", "ledger", closed, closed)
	f.Learn("browse", "a", "ledger", closed, closed)
	for range 30 {
		f.Learn("pay", "a", "ledger", closed, closed)
	}
	_, ok := f.Admits("browse", "a", rank.Sheddable, 0)
	assert.Assert(t, !ok)
	for range 30 {
		f.Learn("pay", "a", "", level.Full, level.Full)
	}
	_, ok = f.Admits("browse", "a", rank.Sheddable, 0.9)
	assert.Assert(t, ok)
}

// decision returns a function that decides on a request and learns from its
// answer.
func decision() func() {
	c, _ := clock.NewManual(0)
	f := early.New(c)
	return func() {
		f.Admits("browse", "a", rank.Normal, 0.5)
		f.Learn("browse", "a", "stock", level.New(rank.Normal, 0.5), level.New(rank.Normal, 0.25))
	}
}

func TestDecisionAllocatesNothing(t *testing.T) {
	decide := decision()
	decide()
	assert.Equal(t, testing.AllocsPerRun(1000, decide), 0.0)
}

func BenchmarkDecision(b *testing.B) {
	decide := decision()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
