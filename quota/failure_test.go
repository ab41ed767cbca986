package quota_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

var teamLimits = limits{rate: 200, burst: 100}

// startedFleet returns a fleet whose team has an owner, and the owner's index.
func startedFleet(t *testing.T, seed uint64) (*fleet, int) {
	f := newFleet(seed, teamLimits.rate, teamLimits.burst)
	f.run(2000, nil)
	owner := f.owner()
	assert.Assert(t, owner >= 0)
	return f, owner
}

// anyExcept returns a function that picks a random node that isn't skipped.
func (f *fleet) anyExcept(skip ...int) func() int {
	return func() int {
		for {
			i := f.random.IntN(len(f.peers))
			skipped := false
			for _, s := range skip {
				skipped = skipped || s == i
			}
			if !skipped {
				return i
			}
		}
	}
}

func (f *fleet) burstAt(i, requests int) {
	for range requests {
		f.request(i)
	}
}

func TestPausedHolderDoesNotUseExpiredTokens(t *testing.T) {
	f, owner := startedFleet(t, 1)
	holder := (owner + 1) % fleetSize
	f.run(3000, f.arrivals(50, func() int { return holder }))
	f.pause(holder)
	f.run(4000, nil)
	// The node gets requests before it reads the messages that came meanwhile.
	f.peers[holder].paused = false
	f.burstAt(holder, 50)
	f.run(1000, f.arrivals(1000, f.anyExcept(holder)))
	f.checkWindows(t, teamLimits)
}

func TestGrantReadLateByPausedHolderIsVoid(t *testing.T) {
	f, owner := startedFleet(t, 15)
	holder := (owner + 1) % fleetSize
	f.burstAt(holder, 60)
	f.run(5, nil)
	f.pause(holder)
	f.run(1000, nil)
	f.resume(holder)
	f.run(1000, f.arrivals(2000, f.anyExcept(holder)))
	f.checkWindows(t, teamLimits)
}

func TestPausedOwnerGrantsNothingAfterResume(t *testing.T) {
	for _, tableDown := range []bool{false, true} {
		f, owner := startedFleet(t, 2)
		f.tableDown = tableDown
		f.run(2000, f.arrivals(150, f.anyExcept(owner)))
		f.pause(owner)
		overload := f.arrivals(1000, f.anyExcept(owner))
		f.run(10_000, overload)
		// An idle interval fills the new owner's bucket. If the old one still acted
		// too, twice the burst would be admitted.
		f.run(2000, nil)
		// The node gets requests before it reads the messages that came meanwhile.
		f.peers[owner].paused = false
		f.burstAt(owner, 150)
		f.resume(owner)
		f.run(5000, overload)
		f.checkWindows(t, teamLimits)
		assert.Equal(t, f.owner() >= 0, true)
	}
}

func TestNewOwnerWaitsUntilOldGrantsHaveExpired(t *testing.T) {
	f, owner := startedFleet(t, 3)
	f.run(3000, f.arrivals(120, f.anyExcept(owner)))
	f.kill(owner)
	f.run(700, nil)
	f.run(300, func() {
		for i := range fleetSize {
			f.request(i)
		}
	})
	f.checkWindows(t, teamLimits)
}

func TestNewOwnerStartsWithEmptyBucket(t *testing.T) {
	f, owner := startedFleet(t, 4)
	overload := f.arrivals(1000, f.anyExcept(owner))
	f.run(3000, overload)
	f.kill(owner)
	f.run(5000, overload)
	f.checkWindows(t, teamLimits)
}

func TestDuplicatedAndDelayedMessagesGrantOnce(t *testing.T) {
	f, owner := startedFleet(t, 5)
	f.lossFraction, f.duplicateFraction, f.delayFraction = 0.05, 0.5, 0.2
	lightLoad, overload := f.arrivals(100, f.anyExcept(owner)), f.arrivals(2000, f.anyExcept(owner))
	for range 20 {
		f.run(1000, lightLoad)
		f.run(500, nil)
		f.run(200, overload)
	}
	f.checkWindows(t, teamLimits)
}

func TestLostTableResponsesKeepLimitAndRecover(t *testing.T) {
	f, owner := startedFleet(t, 6)
	f.lostResponseFraction = 0.7
	load := f.arrivals(150, f.anyExcept(owner))
	f.pause(owner)
	f.run(15_000, load)
	measuredFrom := f.now
	f.run(10_000, load)
	f.resume(owner)
	f.run(3000, load)
	f.checkWindows(t, teamLimits)
	assert.Equal(t, f.refusedBetween(measuredFrom, measuredFrom+10_000), 0)
}

func TestPartitionWhileTableIsUnavailableKeepsLimitAndRecovers(t *testing.T) {
	f, _ := startedFleet(t, 7)
	overload := f.arrivals(1000, f.anyExcept())
	f.run(1000, overload)
	f.tableDown = true
	f.split(fleetSize / 2)
	f.run(20_000, overload)
	clear(f.isPartitioned)
	f.run(5000, overload)
	f.checkWindows(t, teamLimits)
	assert.Assert(t, f.owner() >= 0)
}

func TestTwoOwnersDieTogetherWhileTableIsUnavailable(t *testing.T) {
	f, owner := startedFleet(t, 8)
	f.run(3000, nil)
	f.tableDown = true
	next := f.successor(owner)
	load := f.arrivals(150, f.anyExcept(owner, next))
	f.run(2000, load)
	f.kill(owner)
	f.kill(next)
	diedAt := f.now
	f.run(15_000, load)
	f.checkWindows(t, teamLimits)
	assert.Equal(t, f.refusedBetween(diedAt+5000, f.now), 0)
}

func TestTableOutageOfAnHour(t *testing.T) {
	f := newFleet(9, teamLimits.rate, teamLimits.burst)
	f.peers = f.peers[:5]
	f.updateMembers()
	f.run(2000, nil)
	owner := f.owner()
	f.step = tickMillis
	load := f.arrivals(30, f.anyExcept(owner))
	f.tableDown = true
	f.run(1_800_000, load)
	assert.Equal(t, len(f.refused), 0)
	f.kill(owner)
	diedAt := f.now
	f.run(1_800_000, load)
	f.checkWindows(t, teamLimits)
	assert.Equal(t, f.refusedBetween(diedAt+5000, f.now), 0)
}

func TestTrafficThatMovesBetweenNodesIsNotRefused(t *testing.T) {
	for _, tableDown := range []bool{false, true} {
		f, _ := startedFleet(t, 10)
		f.tableDown = tableDown
		at := 0
		f.run(30_000, f.arrivals(190, func() int {
			if f.random.IntN(200) == 0 {
				at = f.random.IntN(fleetSize)
			}
			if f.random.IntN(10) == 0 {
				return f.random.IntN(fleetSize)
			}
			return at
		}))
		f.checkWindows(t, teamLimits)
		t.Log("refused", len(f.refused), "of", len(f.admitted)+len(f.refused))
		assert.Assert(t, len(f.refused)*1000 <= len(f.admitted))
	}
}

func TestLeavingOwnerHandsOver(t *testing.T) {
	f, owner := startedFleet(t, 11)
	load := f.arrivals(150, f.anyExcept(owner))
	f.run(3000, load)
	f.peers[owner].leaving = true
	f.updateMembers()
	leftAt := f.now
	f.run(10_000, load)
	f.checkWindows(t, teamLimits)
	t.Log("refused", f.refusedBetween(leftAt, f.now), "writes", f.writes)
	assert.Assert(t, f.owner() != owner)
	assert.Equal(t, f.refusedBetween(leftAt+5000, f.now), 0)
}

func TestRestartOfAllNodesKeepsLimitAndRecovers(t *testing.T) {
	f, _ := startedFleet(t, 12)
	overload := f.arrivals(1000, f.anyExcept())
	f.run(2000, overload)
	for i := range fleetSize {
		f.kill(i)
		f.start(i)
	}
	f.updateMembers()
	f.run(10_000, overload)
	f.checkWindows(t, teamLimits)
	assert.Assert(t, f.owner() >= 0)
}

func TestUnusedTokensOfOtherNodesAreRevoked(t *testing.T) {
	f, owner := startedFleet(t, 13)
	f.run(3000, f.arrivals(120, f.anyExcept(owner)))
	f.run(300, nil)
	f.burstAt(owner, 80)
	f.run(100, nil)
	assert.Equal(t, len(f.refused), 0)
	f.checkWindows(t, teamLimits)
}

func TestMostRequestsFindATokenOnTheirNode(t *testing.T) {
	f, _ := startedFleet(t, 14)
	f.run(30_000, f.arrivals(150, f.anyExcept()))
	t.Log("waited", f.waitedCount, "of", len(f.admitted))
	assert.Assert(t, f.waitedCount*100 <= len(f.admitted))
}
