package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSteadyTrafficWithinTheRateIsAdmitted(t *testing.T) {
	f := newFleet(1, 200, 100)
	f.run(3000, nil)
	assert.Assert(t, f.owner() >= 0)
	sentCount, byteCount := f.sentCount, f.byteCount
	f.run(60_000, f.arrivals(180, func() int { return f.random.IntN(fleetSize) }))
	f.checkWindows(t, limits{rate: 200, burst: 100})
	t.Log("admitted", len(f.admitted), "refused", len(f.refused), "messages", f.sentCount-sentCount, "bytes", f.byteCount-byteCount,
		"table writes", f.writes, "table reads", f.reads)
	assert.Equal(t, len(f.refused), 0)
}

func TestTeamAboveItsRateGetsItsRate(t *testing.T) {
	f := newFleet(1, 200, 100)
	f.run(3000, nil)
	sentCount, byteCount := f.sentCount, f.byteCount
	f.run(60_000, f.arrivals(1000, func() int { return f.random.IntN(fleetSize) }))
	f.checkWindows(t, limits{rate: 200, burst: 100})
	t.Log("admitted", len(f.admitted), "refused", len(f.refused), "messages", f.sentCount-sentCount, "bytes", f.byteCount-byteCount,
		"table writes", f.writes, "table reads", f.reads)
	assert.Assert(t, len(f.admitted) >= 12_000)
}

// anyOf returns a function that picks a random node other than the skipped one.
func anyOf(f *fleet, skip int) func() int {
	return func() int {
		for {
			if i := f.random.IntN(len(f.peers)); i != skip {
				return i
			}
		}
	}
}

func TestDeadOwnerIsReplacedWithinFiveSeconds(t *testing.T) {
	for _, tableDown := range []bool{false, true} {
		f := newFleet(2, 200, 100)
		f.run(3000, nil)
		owner := f.owner()
		load := f.arrivals(150, anyOf(f, owner))
		f.run(5000, load)
		f.tableDown = tableDown
		f.kill(owner)
		killedAt := f.now
		f.run(20_000, load)
		f.checkWindows(t, limits{rate: 200, burst: 100})
		t.Log("table down", tableDown, "refused", f.refusedBetween(killedAt, killedAt+5000), "owner", f.owner(), "table writes", f.writes)
		assert.Equal(t, f.refusedBetween(killedAt+5000, f.now), 0)
	}
}

// A fleet serves requests while it looks for the team's owner. In the lag of links
// and processes that have just started, a token takes longer than in a calm fleet.
func TestTeamWithinItsRateIsNotRefusedWhenTheFleetStarts(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 600, 600)
		f.messageMillis = 15
		f.run(5000, f.arrivals(60, anyOf(f, -1)))
		assert.Equal(t, len(f.refused), 0, "seed %d: %d requests refused, %d admitted", seed, len(f.refused), len(f.admitted))
	}
}
