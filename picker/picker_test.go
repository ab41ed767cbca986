package picker_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/picker"
)

func instance(peer, centre string, run float32) card.Card {
	return card.Card{Peers: peer, Incarnation: 1, Sequence: 1, Centre: centre, Service: "stock", Target: "t-" + peer, Limit: 50, RunMillis: run}
}

// picks counts which instances are picked while all answers come at once.
func picks(p *picker.Picker, times int) map[string]int {
	count := make(map[string]int)
	for range times {
		c, ok := p.Pick("stock", nil)
		if ok {
			count[c.Peers]++
			p.Done(c.Peers, true)
		}
	}
	return count
}

func TestNoInstanceNoPick(t *testing.T) {
	c, _ := clock.NewManual(0)
	p := picker.New(c, "a", 1)
	_, ok := p.Pick("stock", nil)
	assert.Assert(t, !ok)
	gone := instance("x", "a", 10)
	gone.Target = ""
	p.Learn(gone)
	_, ok = p.Pick("stock", nil)
	assert.Assert(t, !ok)
}

func TestOwnDataCentreIsPreferredWhileItHasRoom(t *testing.T) {
	c, _ := clock.NewManual(0)
	p := picker.New(c, "a", 1)
	for _, centre := range []string{"a", "b", "c"} {
		p.Learn(instance(centre, centre, 20))
	}
	calm := picks(p, 1000)
	assert.Assert(t, calm["a"] > 700, "%v", calm)
	full := instance("a", "a", 20)
	full.Sequence, full.Running, full.Waiting = 2, 50, 100
	p.Learn(full)
	busy := picks(p, 300)
	assert.Assert(t, busy["a"] < 60, "%v", busy)
}

func TestFasterInstancesGetMore(t *testing.T) {
	c, _ := clock.NewManual(0)
	p := picker.New(c, "elsewhere", 1)
	p.Learn(instance("slow", "a", 30))
	p.Learn(instance("fast", "b", 10))
	// All requests stay open, as under load.
	count := make(map[string]int)
	for range 100 {
		i, _ := p.Pick("stock", nil)
		count[i.Peers]++
	}
	assert.Assert(t, count["fast"] > 2*count["slow"], "%v", count)
}

func TestSilentAndUnreachedInstancesAreTakenOnlyAsTheLastOnes(t *testing.T) {
	c, advance := clock.NewManual(0)
	p := picker.New(c, "a", 1)
	p.Learn(instance("silent", "a", 20))
	advance(2000)
	p.Learn(instance("well", "a", 20))
	assert.DeepEqual(t, picks(p, 50), map[string]int{"well": 50})
	i, _ := p.Pick("stock", nil)
	p.Done(i.Peers, false)
	both := picks(p, 50)
	assert.Equal(t, len(both), 2, fmt.Sprint(both))
}

func TestTriedInstancesAreLeftOut(t *testing.T) {
	c, _ := clock.NewManual(0)
	p := picker.New(c, "a", 1)
	p.Learn(instance("x", "a", 20))
	_, ok := p.Pick("stock", map[string]bool{"x": true})
	assert.Assert(t, !ok)
}

func TestInstanceWhoseRunsFailGetsLess(t *testing.T) {
	c, _ := clock.NewManual(0)
	p := picker.New(c, "elsewhere", 1)
	grey := instance("grey", "a", 20)
	grey.Failing = 0.5
	p.Learn(grey)
	p.Learn(instance("well", "a", 20))
	count := picks(p, 1000)
	assert.Assert(t, count["grey"] < 200, "%v", count)
}
