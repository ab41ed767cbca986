package ration_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/ration"
	"bergamotloom.example/team"
)

const (
	stepMillis = 5
	cardMillis = 100
)

// fleet runs the rations of some nodes on one virtual clock.
type fleet struct {
	clock   clock.Clock
	advance func(float64)
	random  *rand.Rand
	nodes   []*ration.Ration
	lives   []int64
	serial  int64
	team    team.Team
	// admitted holds when requests were let in, asked how many were asked.
	admitted []float64
	refused  int
	// cut lists nodes that neither hear the others nor are heard.
	cut map[int]bool
	// stopping lists nodes that say so; gone are those that say nothing more
	// and get no requests.
	stopping, gone map[int]bool
	// lossy is the part of the cards that get lost.
	lossy float64
}

func newFleet(nodes int, full bool, t team.Team, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, seed)), team: t}
	f.clock, f.advance = clock.NewManual(1_000_000)
	for i := range nodes {
		f.nodes = append(f.nodes, nil)
		f.lives = append(f.lives, 0)
		f.restart(i, full)
	}
	return f
}

func (f *fleet) restart(i int, full bool) {
	f.nodes[i] = ration.New(f.clock, full, f.random.Uint64())
	f.nodes[i].SetTeams([]team.Team{f.team})
	f.lives[i]++
}

// run asks at perSecond requests a second, over all nodes, for some time.
func (f *fleet) run(millis int, perSecond float64, uneven bool) {
	for at := 0; at < millis; at += stepMillis {
		for n := f.arrivals(perSecond * stepMillis / 1000); n > 0; n-- {
			i := f.random.IntN(len(f.nodes))
			if uneven && f.random.Float64() < 0.8 {
				i = 0
			}
			if f.gone[i] {
				continue
			}
			if _, ok := f.nodes[i].Admit(f.team.Name); ok {
				f.admitted = append(f.admitted, f.clock.Fine())
			} else {
				f.refused++
			}
		}
		f.advance(stepMillis)
		if at%cardMillis == 0 {
			f.tell()
		}
	}
}

func (f *fleet) arrivals(mean float64) int {
	n := 0
	for t := f.random.ExpFloat64(); t < mean; t += f.random.ExpFloat64() {
		n++
	}
	return n
}

func (f *fleet) tell() {
	f.serial++
	for i, from := range f.nodes {
		from.Tick(cardMillis)
		c := from.Describe(card.Card{Peers: fmt.Sprint(i), Incarnation: f.lives[i], Sequence: f.serial, Stopping: f.stopping[i]})
		for j, to := range f.nodes {
			if j != i && !f.gone[i] && !f.cut[i] && !f.cut[j] && f.random.Float64() >= f.lossy {
				to.Learn(c)
			}
		}
	}
}

// most returns the largest number let in within a window.
func (f *fleet) most(windowMillis float64) int {
	most, first := 0, 0
	for last := range f.admitted {
		for f.admitted[last]-f.admitted[first] > windowMillis {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// bound is what the platform allows in a window of five seconds.
func bound(t team.Team) float64 {
	return (t.Rate*5+t.Burst)*1.1 + 20
}

func TestTeamThatAsksForSeveralTimesItsRateGetsItsRate(t *testing.T) {
	for _, rate := range []float64{20, 100, 300} {
		for seed := range uint64(5) {
			f := newFleet(15, true, team.Team{Name: "a", Rate: rate, Burst: rate}, seed)
			f.lossy = 0.05
			f.run(3000, rate/1.6, false)
			f.run(8000, rate*4.7, seed%2 == 0)
			assert.Assert(t, float64(f.most(5000)) <= bound(f.team), "rate %v seed %d: %d let in of %v", rate, seed, f.most(5000), bound(f.team))
			// What it may use is used.
			late := 0
			for _, at := range f.admitted {
				if at > f.clock.Fine()-5000 {
					late++
				}
			}
			assert.Assert(t, float64(late) >= 0.85*rate*5, "rate %v seed %d: only %d", rate, seed, late)
		}
	}
}

func TestTeamWithinItsRateIsHardlyRefused(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(15, true, team.Team{Name: "a", Rate: 50, Burst: 50}, seed)
		f.run(20_000, 50/1.6, seed%2 == 0)
		assert.Equal(t, f.refused, 0)
	}
}

func TestFleetThatRestartsAtOnceGivesNoSecondBurst(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(15, true, team.Team{Name: "a", Rate: 100, Burst: 100}, seed)
		f.run(2000, 500, false)
		for i := range f.nodes {
			f.restart(i, false)
		}
		f.run(5000, 500, false)
		assert.Assert(t, float64(f.most(5000)) <= bound(f.team), "seed %d: %d", seed, f.most(5000))
	}
}

func TestNodesThatRestartOneByOneKeepTheRate(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(15, true, team.Team{Name: "a", Rate: 100, Burst: 100}, seed)
		for i := range f.nodes {
			f.run(500, 400, false)
			f.restart(i, false)
		}
		assert.Assert(t, float64(f.most(5000)) <= bound(f.team), "seed %d: %d", seed, f.most(5000))
	}
}

func TestLowerRateIsKeptFromThen(t *testing.T) {
	f := newFleet(15, true, team.Team{Name: "a", Rate: 200, Burst: 200}, 1)
	f.run(5000, 120, false)
	f.team = f.team.WithRate(30, 30)
	for _, n := range f.nodes {
		n.SetTeams([]team.Team{f.team})
	}
	f.admitted = nil
	f.run(10_000, 120, false)
	assert.Assert(t, float64(f.most(5000)) <= bound(f.team), "%d", f.most(5000))
}

func TestTeamWithoutARateIsNotLimited(t *testing.T) {
	f := newFleet(3, true, team.Team{Name: "a"}, 1)
	f.run(1000, 5000, false)
	assert.Equal(t, f.refused, 0)
}

func TestNodesThatAreCutOffKeepToTheirParts(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(15, true, team.Team{Name: "a", Rate: 300, Burst: 300}, seed)
		f.run(3000, 300/1.6, false)
		f.cut = map[int]bool{0: true, 3: true, 7: true, 9: true, 14: true}
		f.run(2000, 300/1.6, false)
		f.admitted = nil
		f.run(10_000, 300*4.7, false)
		assert.Assert(t, float64(f.most(5000)) <= bound(f.team), "seed %d: %d of %v", seed, f.most(5000), bound(f.team))
	}
}

func TestTeamsOfUsualSizeHardlyNoticeThatNodesAreCutOff(t *testing.T) {
	f := newFleet(15, true, team.Team{Name: "a", Rate: 300, Burst: 300}, 1)
	f.run(2000, 300/1.6, false)
	f.cut = map[int]bool{0: true, 3: true}
	f.refused = 0
	f.run(10_000, 300/1.6, false)
	assert.Assert(t, float64(f.refused) < 0.01*10*300/1.6, "%d refused", f.refused)
}

// A node that joins an old fleet hears counts that were made before it was
// there, some of them with a node's first card and others later.
func TestNodeThatJoinsLaterRefusesNothingForWhatWasBefore(t *testing.T) {
	for _, nodes := range []int{15, 83} {
		f := newFleet(nodes, true, team.Team{Name: "a", Rate: 300, Burst: 300}, 1)
		f.run(60_000, 300/1.6, false)
		for i := range 3 {
			f.restart(i, false)
		}
		f.run(1000, 300/1.6, false)
		f.refused = 0
		f.run(10_000, 300/1.6, false)
		assert.Assert(t, float64(f.refused) < 0.001*10*300/1.6, "%d nodes: %d refused", nodes, f.refused)
	}
}

// Nothing is left to nodes that stopped as planned, unlike to those that may be
// cut off.
func TestPartOfNodesThatStoppedIsUsedByTheOthers(t *testing.T) {
	const lateMillis = 3000
	f := newFleet(15, true, team.Team{Name: "a", Rate: 300, Burst: 300}, 1)
	f.run(2000, 300/1.6, false)
	f.stopping = map[int]bool{0: true, 3: true, 4: true, 7: true}
	f.run(1000, 300/1.6, false)
	f.gone = f.stopping
	f.run(lateMillis, 300/1.6, false)
	f.admitted = nil
	f.run(5000, 1000, false)
	assert.Assert(t, float64(len(f.admitted)) >= 0.95*300*5, "%d", len(f.admitted))
	assert.Assert(t, float64(f.most(5000)) <= bound(f.team), "%d", f.most(5000))
}
