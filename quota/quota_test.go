package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSteadyTrafficInsideTheRateIsAdmitted(t *testing.T) {
	f := newFleet(1, 200, 100)
	f.run(3000, nil)
	assert.Assert(t, f.home() >= 0)
	sent, bytes := f.sent, f.bytes
	f.run(60_000, f.arrivals(180, func() int { return f.random.IntN(fleetSize) }))
	f.checkWindows(t, limits{rate: 200, burst: 100})
	t.Log(len(f.admitted), len(f.refused), f.sent-sent, f.bytes-bytes, f.writes, f.reads)
	assert.Equal(t, len(f.refused), 0)
}

func TestTeamAboveItsRateGetsItsRate(t *testing.T) {
	f := newFleet(1, 200, 100)
	f.run(3000, nil)
	sent, bytes := f.sent, f.bytes
	f.run(60_000, f.arrivals(1000, func() int { return f.random.IntN(fleetSize) }))
	f.checkWindows(t, limits{rate: 200, burst: 100})
	t.Log(len(f.admitted), len(f.refused), f.sent-sent, f.bytes-bytes, f.writes, f.reads)
	assert.Assert(t, len(f.admitted) >= 12_000)
}

// anyOf picks a node that isn't the skipped one.
func anyOf(f *fleet, skip int) func() int {
	return func() int {
		for {
			if i := f.random.IntN(len(f.peers)); i != skip {
				return i
			}
		}
	}
}

func TestDeadHomeIsReplacedWithinFiveSeconds(t *testing.T) {
	for _, out := range []bool{false, true} {
		f := newFleet(2, 200, 100)
		f.run(3000, nil)
		h := f.home()
		load := f.arrivals(150, anyOf(f, h))
		f.run(5000, load)
		f.out = out
		f.kill(h)
		killed := f.now
		f.run(20_000, load)
		f.checkWindows(t, limits{rate: 200, burst: 100})
		t.Log(out, f.refusedBetween(killed, killed+5000), f.home(), f.writes)
		assert.Equal(t, f.refusedBetween(killed+5000, f.now), 0)
	}
}
