package limit_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/limit"
)

// settle runs a target that always has work for so many milliseconds, and
// returns the limits that were chosen in the last third of the time.
func settle(slots int, knee, slower float64, seed uint64) []int {
	random := rand.New(rand.NewPCG(seed, seed))
	l := limit.New(slots)
	var chosen []int
	const tick, end = 100, 60_000
	owed := 0.0
	for now := int64(0); now < end; now += tick {
		running := l.Choose(true, now)
		if now > end*2/3 {
			chosen = append(chosen, running)
		}
		mean := 20.0
		if float64(running) > knee*float64(slots) {
			mean *= slower
		}
		owed += float64(running) * tick / mean
		for ; owed >= 1; owed-- {
			l.RecordServed("calls", mean*random.ExpFloat64(), now+tick)
		}
	}
	return chosen
}

func mean(values []int) float64 {
	sum := 0
	for _, v := range values {
		sum += v
	}
	return float64(sum) / float64(len(values))
}

func TestTargetThatSlowsDownNearTheFullIsKeptBelow(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		got := mean(settle(55, 0.95, 1.3, seed))
		// The best limit is 52; a trial above it comes now and then.
		assert.Assert(t, got >= 46 && got <= 52.5, "seed %d: %v", seed, got)
	}
}

func TestTargetWithoutSlowdownIsFilled(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		got := mean(settle(55, 1, 1, seed))
		assert.Assert(t, got >= 50, "seed %d: %v", seed, got)
	}
}

func TestLimitStaysWithinTheSlots(t *testing.T) {
	for _, slots := range []int{1, 2, 7, 22, 362} {
		for _, running := range settle(slots, 0.8, 2, 1) {
			assert.Assert(t, running >= 1 && running <= slots, "%d of %d", running, slots)
		}
	}
}

// A target behind which calls fail holds its slots for long, though the few
// requests that it serves are short ones. Its line is as long as that.
func TestRunsThatFailSlowlyCountAsLongOnes(t *testing.T) {
	l := limit.New(100)
	l.RecordServed("short", 1, 0)
	for range 200 {
		l.RecordUnserved(1400)
	}
	assert.Assert(t, l.RunMillis() > 1000, "%.0f ms", l.RunMillis())
}

func TestRunsThatFailQuicklyMakeNoTargetFaster(t *testing.T) {
	fresh, known := limit.New(100), limit.New(100)
	for range 100 {
		known.RecordServed("long", 200, 0)
	}
	for range 200 {
		fresh.RecordUnserved(1)
		known.RecordUnserved(1)
	}
	assert.Equal(t, fresh.RunMillis(), 0.0)
	assert.Equal(t, known.RunMillis(), 200.0)
}

// The first run that ends needn't be like the others.
func TestFewRunsAreWeighedEqually(t *testing.T) {
	l := limit.New(100)
	l.RecordServed("short", 1, 0)
	for range 9 {
		l.RecordServed("long", 500, 0)
	}
	assert.Assert(t, l.RunMillis() > 400, "%.0f ms", l.RunMillis())
}
