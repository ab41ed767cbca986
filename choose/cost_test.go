package choose_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/choose"
	"bergamotloom.example/clock"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

func choice() func() {
	c, _ := clock.NewManual(0)
	o := choose.New(c, "A", 1)
	o.Update(fleet(10, 20))
	return func() {
		if o.Refuses("stock", rank.Normal) {
			return
		}
		m, _ := o.Pick("stock", "n3")
		o.Started(m.ID)
		o.Ended(m.ID, true, 5, level.Full)
	}
}

func TestChoiceAllocatesNothing(t *testing.T) {
	assert.Equal(t, testing.AllocsPerRun(1000, choice()), 0.0)
}

func BenchmarkChoice(b *testing.B) {
	choose := choice()
	b.ReportAllocs()
	for b.Loop() {
		choose()
	}
}
