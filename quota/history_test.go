package quota_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/team"
)

// TestMain fixes the seed, so that each run judges the same histories.
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

// fault is one thing that may happen to a fleet.
type fault struct {
	name string
	do   func(f *fleet, i, j int)
}

func faults() []fault {
	return []fault{
		{"kill", func(f *fleet, i, _ int) { f.kill(i) }},
		{"restart", func(f *fleet, i, _ int) { f.kill(i); f.start(i); f.gossip() }},
		{"stop", func(f *fleet, i, _ int) { f.stop(i) }},
		{"resume", func(f *fleet, i, _ int) { f.resume(i) }},
		{"killHome", func(f *fleet, _, _ int) { f.atHome(f.kill) }},
		{"stopHome", func(f *fleet, _, _ int) { f.atHome(f.stop) }},
		{"restartHome", func(f *fleet, _, _ int) { f.atHome(func(h int) { f.kill(h); f.start(h); f.gossip() }) }},
		{"cutHome", func(f *fleet, _, j int) { f.atHome(func(h int) { f.cutOff(h, j) }) }},
		{"cut", func(f *fleet, i, j int) { f.cutOff(i, j) }},
		{"oneWay", func(f *fleet, i, j int) { f.cut[[2]string{f.peers[i].id, f.peers[j].id}] = true }},
		{"split", func(f *fleet, i, _ int) { f.split(i) }},
		{"noTable", func(f *fleet, i, _ int) { f.peers[i].noTable = !f.peers[i].noTable }},
		{"heal", func(f *fleet, _, _ int) { clear(f.cut) }},
		{"out", func(f *fleet, _, _ int) { f.out = true }},
		{"back", func(f *fleet, _, _ int) { f.out = false }},
		{"lossy", func(f *fleet, _, _ int) { f.loss, f.double, f.late, f.lost = 0.1, 0.2, 0.1, 0.5 }},
		{"clean", func(f *fleet, _, _ int) { f.loss, f.double, f.late, f.lost = 0, 0, 0, 0 }},
		{"wakeAll", func(f *fleet, _, _ int) { f.wakeAll() }},
	}
}

// atHome does something to the node that acts as home, if there is one.
func (f *fleet) atHome(do func(i int)) {
	if h := f.home(); h >= 0 {
		do(h)
	}
}

// cutOff cuts both ways between two nodes.
func (f *fleet) cutOff(i, j int) {
	f.cut[[2]string{f.peers[i].id, f.peers[j].id}] = true
	f.cut[[2]string{f.peers[j].id, f.peers[i].id}] = true
}

// split cuts the nodes below n from the others.
func (f *fleet) split(n int) {
	for i := range n {
		for j := n; j < fleetSize; j++ {
			f.cutOff(i, j)
		}
	}
}

func (f *fleet) wakeAll() {
	for i, p := range f.peers {
		if p.stopped && p.alive {
			f.resume(i)
		}
		if !p.alive {
			f.start(i)
		}
	}
	f.gossip()
}

func TestNoHistoryOfFaultsGoesOverAnyWindow(t *testing.T) {
	admitted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 200, 40)
		for _, p := range f.peers {
			p.speed = 1 + (f.random.Float64()*2-1)*400e-6
		}
		load := f.arrivals(400, func() int { return f.random.IntN(fleetSize) })
		f.run(2000, load)
		all := faults()
		for range rapid.IntRange(3, 12).Draw(t, "length") {
			x := rapid.SampledFrom(all).Draw(t, "fault")
			i, j := rapid.IntRange(0, fleetSize-1).Draw(t, "i"), rapid.IntRange(0, fleetSize-1).Draw(t, "j")
			t.Logf("%d: %s %d %d", f.now, x.name, i, j)
			x.do(f, i, j)
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

func TestLoweredRateHoldsOnceOldGrantsHaveEnded(t *testing.T) {
	f := newFleet(7, 400, 200)
	load := f.arrivals(900, func() int { return f.random.IntN(fleetSize) })
	f.run(5000, load)
	lowered := f.now
	// The new configuration reaches the nodes one after the other.
	for _, p := range f.peers {
		p.quota.SetTeams([]team.Team{{Name: teamName, Rate: 50, Burst: 20}})
		f.run(100, load)
	}
	spread := f.now
	f.run(20_000, load)
	f.checkWindows(t, limits{rate: 400, burst: 200}, limits{from: spread + grantMillis, rate: 50, burst: 20})
	t.Log(lowered, len(f.admitted))
}

// grantMillis is how long a grant may be out.
const grantMillis = 1300
