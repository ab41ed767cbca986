package mesh

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/cursor"
	"bergamotloom.example/duty"
	"bergamotloom.example/fresh"
)

const (
	applyMillis     = 2000
	freshStepMillis = 100
)

// freshFleet is a fleet whose nodes know as of when the store had nothing newer. Each call
// to the store takes no time.
type freshFleet struct {
	*largeFleet
	fresh []*fresh.Fresh
	// sentAt is when each node has last sent its cards.
	sentAt []int64
	lost   []bool
	// asked counts the nodes that asked the store themselves.
	asked int
}

func newFreshFleet(t *testing.T, nodes, centres int) *freshFleet {
	t.Helper()
	f := &freshFleet{largeFleet: newLargeFleet(t, nodes, centres), sentAt: make([]int64, nodes), lost: make([]bool, nodes)}
	for i, m := range f.nodes {
		f.fresh = append(f.fresh, fresh.New(f.clock, applyMillis, 0))
		m.onCard = func(c card.Card) {
			if c.StoreVersion > 0 && c.Relays == 0 {
				f.fresh[i].Confirm(cursor.Cursor{Version: c.StoreVersion}, f.clock.Now()-c.StoreAgeMillis)
			}
		}
	}
	return f
}

func (f *freshFleet) duty(i int) duty.Duty {
	return duty.Of(f.nodes[i].self.Peers, f.lost[i], f.nodes[i].Cards())
}

// step lets a step of time pass: the leading node confirms when it's time, nodes that
// weren't told for too long ask the store if isCut allows it, and nodes send cards.
func (f *freshFleet) step(busy bool, isCut func(i int) bool) {
	f.advance(freshStepMillis)
	now := f.clock.Now()
	for i, m := range f.nodes {
		var d duty.Duty
		if f.fresh[i].AgeMillis() >= f.fresh[i].ConfirmMillis() {
			d = f.duty(i)
		}
		isOld := f.fresh[i].MillisUntilOld(d.Reaching, d.Live) <= 0
		if isOld && !f.lost[i] {
			f.asked++
		}
		switch {
		case (isOld || d.Leads && f.fresh[i].AgeMillis() >= f.fresh[i].ConfirmMillis()) && !isCut(i):
			f.fresh[i].Read(cursor.Cursor{Version: 1}, now)
		case isOld:
			f.lost[i] = true
		}
		busyNow := busy || f.fresh[i].HasNews()
		if !busyNow && now-f.sentAt[i] < idleIntervalMillis {
			continue
		}
		f.sentAt[i] = now
		f.send(m, i, busyNow)
	}
}

func (f *freshFleet) send(m *Mesh, i int, busy bool) {
	own := card.Card{StoreLost: f.lost[i]}
	if at, ageMillis, ok := f.fresh[i].Tell(); ok {
		own.StoreVersion, own.StoreAgeMillis = at.Version, ageMillis
	}
	f.cards[i] = own
	for _, g := range m.round(own, busy) {
		for _, r := range g.to {
			to := f.byPort[r.address]
			for _, c := range g.cards {
				if to.accept(c) {
					to.onCard(c)
				}
			}
		}
	}
}

func never(int) bool { return false }

// In a calm fleet of any size nearly all nodes are told in time that nothing has changed,
// so that calls to the store don't grow with the number of nodes.
func TestCalmFleetIsToldThatNothingHasChanged(t *testing.T) {
	const seconds = 6
	for _, size := range []struct{ nodes, centres int }{{4, 1}, {16, 3}, {194, 5}} {
		for _, busy := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d nodes, busy %v", size.nodes, busy), func(t *testing.T) {
				f := newFreshFleet(t, size.nodes, size.centres)
				for f.clock.Now() < 3000 {
					f.step(busy, never)
				}
				f.asked = 0
				for f.clock.Now() < (3+seconds)*1000 {
					f.step(busy, never)
				}
				assert.Assert(t, f.asked <= seconds, "%d calls of nodes that weren't told in %d s", f.asked, seconds)
			})
		}
	}
}

// Three of four nodes are cut off from the store, among them all that watch it. Each of
// the others knows what the store has by 0.8 of the bound, also at the worst moment.
func TestNodesMissAChangeAsAllWatchersAreCutOff(t *testing.T) {
	for _, size := range []struct{ nodes, centres int }{{4, 1}, {16, 3}, {194, 5}} {
		for _, phase := range []int{0, 3, 6} {
			t.Run(fmt.Sprintf("%d nodes, phase %d", size.nodes, phase), func(t *testing.T) {
				f := newFreshFleet(t, size.nodes, size.centres)
				for f.clock.Now() < 3000+int64(phase*freshStepMillis) {
					f.step(true, never)
				}
				watches := make([]bool, size.nodes)
				for i := range f.nodes {
					watches[i] = f.duty(i).Watches
				}
				isCut := func(i int) bool { return (watches[i] || i%4 != 0) && i != size.nodes-1 }
				cutAt := f.clock.Now()
				f.asked = 0
				for f.clock.Now() < cutAt+applyMillis*8/10 {
					f.step(true, isCut)
				}
				for i := range f.nodes {
					knownAt := f.clock.Now() - f.fresh[i].AgeMillis()
					assert.Check(t, isCut(i) || knownAt > cutAt, "node %d knows what the store had %d ms before the cut", i, cutAt-knownAt)
				}
				assert.Check(t, f.asked <= size.nodes, "%d calls", f.asked)
			})
		}
	}
}
