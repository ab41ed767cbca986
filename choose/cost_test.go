package choose_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/choose"
	"bergamotloom.example/clock"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

func newChoice() func() {
	c, _ := clock.NewManual(0)
	chooser := choose.New(c, "A", 1)
	chooser.Update(newMembers(10, 20))
	return func() {
		if chooser.Refuses("stock", rank.Normal) {
			return
		}
		m, _ := chooser.Pick("stock", "n3")
		chooser.Started(m.ID)
		chooser.Ended(m.ID, true, 5, level.Full)
	}
}

func TestChoiceAllocatesNothing(t *testing.T) {
	assert.Equal(t, testing.AllocsPerRun(1000, newChoice()), 0.0)
}

func BenchmarkChoice(b *testing.B) {
	chooseOnce := newChoice()
	b.ReportAllocs()
	for b.Loop() {
		chooseOnce()
	}
}
