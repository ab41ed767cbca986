package quota_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/team"
)

// TestMain fixes the seed, so that each run checks the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.shrinktime": "5s", "rapid.checks": "25"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// fault is one kind of fault of a fleet.
type fault struct {
	name string
	do   func(f *fleet, i, j int)
}

func faults() []fault {
	return []fault{
		{"kill", func(f *fleet, i, _ int) { f.kill(i) }},
		{"restart", func(f *fleet, i, _ int) { f.kill(i); f.start(i); f.updateMembers() }},
		{"pause", func(f *fleet, i, _ int) { f.pause(i) }},
		{"resume", func(f *fleet, i, _ int) { f.resume(i) }},
		{"killOwner", func(f *fleet, _, _ int) { f.atOwner(f.kill) }},
		{"pauseOwner", func(f *fleet, _, _ int) { f.atOwner(f.pause) }},
		{"restartOwner", func(f *fleet, _, _ int) {
			f.atOwner(func(owner int) { f.kill(owner); f.start(owner); f.updateMembers() })
		}},
		{"partitionOwner", func(f *fleet, _, j int) { f.atOwner(func(owner int) { f.partition(owner, j) }) }},
		{"partition", func(f *fleet, i, j int) { f.partition(i, j) }},
		{"partitionOneWay", func(f *fleet, i, j int) { f.isPartitioned[[2]string{f.peers[i].id, f.peers[j].id}] = true }},
		{"split", func(f *fleet, i, _ int) { f.split(i) }},
		{"tableUnreachable", func(f *fleet, i, _ int) { f.peers[i].tableUnreachable = !f.peers[i].tableUnreachable }},
		{"heal", func(f *fleet, _, _ int) { clear(f.isPartitioned) }},
		{"tableDown", func(f *fleet, _, _ int) { f.tableDown = true }},
		{"tableUp", func(f *fleet, _, _ int) { f.tableDown = false }},
		{"unreliable", func(f *fleet, _, _ int) {
			f.lossFraction, f.duplicateFraction, f.delayFraction, f.lostResponseFraction = 0.1, 0.2, 0.1, 0.5
		}},
		{"reliable", func(f *fleet, _, _ int) {
			f.lossFraction, f.duplicateFraction, f.delayFraction, f.lostResponseFraction = 0, 0, 0, 0
		}},
		{"resumeAll", func(f *fleet, _, _ int) { f.resumeAll() }},
	}
}

// atOwner calls a function for the node that acts as owner, if there is one.
func (f *fleet) atOwner(do func(i int)) {
	if owner := f.owner(); owner >= 0 {
		do(owner)
	}
}

// partition stops messages between two nodes in both directions.
func (f *fleet) partition(i, j int) {
	f.isPartitioned[[2]string{f.peers[i].id, f.peers[j].id}] = true
	f.isPartitioned[[2]string{f.peers[j].id, f.peers[i].id}] = true
}

// split partitions the nodes below n from the others.
func (f *fleet) split(n int) {
	for i := range n {
		for j := n; j < fleetSize; j++ {
			f.partition(i, j)
		}
	}
}

func (f *fleet) resumeAll() {
	for i, p := range f.peers {
		if p.paused && p.alive {
			f.resume(i)
		}
		if !p.alive {
			f.start(i)
		}
	}
	f.updateMembers()
}

func TestNoHistoryOfFaultsExceedsTheLimitInAnyWindow(t *testing.T) {
	admitted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 200, 40)
		for _, p := range f.peers {
			// Clocks are up to 400 ppm wrong, below the 500 ppm that package bucket
			// allows for.
			p.speed = 1 + (f.random.Float64()*2-1)*400e-6
		}
		load := f.arrivals(400, func() int { return f.random.IntN(fleetSize) })
		f.run(2000, load)
		all := faults()
		for range rapid.IntRange(3, 12).Draw(t, "length") {
			chosen := rapid.SampledFrom(all).Draw(t, "fault")
			i, j := rapid.IntRange(0, fleetSize-1).Draw(t, "i"), rapid.IntRange(0, fleetSize-1).Draw(t, "j")
			t.Logf("%d: %s %d %d", f.now, chosen.name, i, j)
			chosen.do(f, i, j)
			f.run(rapid.Int64Range(1, 3000).Draw(t, "millis"), load)
		}
		f.run(3000, load)
		f.checkWindows(t, limits{rate: 200, burst: 40})
		admitted += len(f.admitted)
		refused += len(f.refused)
	})
	t.Log("admitted", admitted, "refused", refused)
	assert.Assert(t, admitted > 0)
}

func TestLoweredRateHoldsOnceOldGrantsHaveExpired(t *testing.T) {
	f := newFleet(7, 400, 200)
	load := f.arrivals(900, func() int { return f.random.IntN(fleetSize) })
	f.run(5000, load)
	loweredAt := f.now
	// The new configuration reaches one node after another.
	for _, p := range f.peers {
		p.quota.SetTeams([]team.Team{{Name: teamName, Rate: 50, Burst: 20}})
		f.run(100, load)
	}
	appliedAt := f.now
	f.run(20_000, load)
	f.checkWindows(t, limits{rate: 400, burst: 200}, limits{from: appliedAt + outstandingMillis, rate: 50, burst: 20})
	t.Log("lowered at", loweredAt, "admitted", len(f.admitted))
}

// outstandingMillis is how long a grant may be outstanding, as in package quota.
const outstandingMillis = 1300
