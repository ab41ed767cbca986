package fresh_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/cursor"
	"bergamotloom.example/fresh"
)

const boundMillis = 2000

func newFresh() (f *fresh.Fresh, advance func(float64)) {
	c, advance := clock.NewManual(0)
	return fresh.New(c, boundMillis, 0), advance
}

// A node that was told right before a change and a fault, and whose first call gets no
// response, makes a second one that may take a tenth of the bound.
func TestSecondCallIsMadeInTimeAtTheWorstMoment(t *testing.T) {
	const pauseMillis = 150
	for _, peers := range []int{0, 15, 193, 9399} {
		f, _ := newFresh()
		f.Confirm(cursor.Cursor{Version: 1}, 0)
		second := f.MillisUntilOld(peers, peers) + f.AttemptMillis(0) + pauseMillis
		assert.Assert(t, second <= boundMillis*9/10, "%d peers: %d ms", peers, second)
	}
}

func TestNumberOfNodesThatAskGrowsExponentially(t *testing.T) {
	f, _ := newFresh()
	f.Confirm(cursor.Cursor{Version: 1}, 0)
	first, last := f.MillisUntilOld(0, 193), f.MillisUntilOld(193, 193)
	asking := 0
	for before := range 194 {
		if f.MillisUntilOld(before, 193) <= (first+last)/2 {
			asking++
		}
	}
	assert.Assert(t, asking > 10 && asking < 16, "%d of 194 nodes ask in the first half of the time", asking)
}

func TestConfirmationsOfPeersAreTakenIn(t *testing.T) {
	f, advance := newFresh()
	advance(1000)
	_, _, ok := f.Tell()
	assert.Assert(t, !ok, "a node that knows nothing tells a position")
	f.Confirm(cursor.Cursor{Version: 7}, 800)
	assert.Assert(t, f.HasNews())
	at, ageMillis, ok := f.Tell()
	assert.Assert(t, ok)
	assert.Equal(t, at, cursor.Cursor{Version: 7})
	assert.Equal(t, ageMillis, int64(200))
	assert.Assert(t, !f.HasNews())
	// Neither an older position nor an older age replaces it.
	f.Confirm(cursor.Cursor{Version: 6}, 700)
	at, ageMillis, _ = f.Tell()
	assert.Equal(t, at, cursor.Cursor{Version: 7})
	assert.Equal(t, ageMillis, int64(200))
}

// Rows that a long poll returns are of an unknown time since it was sent, while peers
// have confirmed meanwhile.
func TestPositionOfALongPollIsTakenInAfterLaterConfirmations(t *testing.T) {
	f, advance := newFresh()
	advance(5000)
	f.Confirm(cursor.Cursor{Version: 7}, 4800)
	f.Read(cursor.Cursor{Version: 9}, 0)
	at, ok := f.Position()
	assert.Assert(t, ok)
	assert.Equal(t, at, cursor.Cursor{Version: 9})
	assert.Equal(t, f.AgeMillis(), int64(200))
}

func TestPositionsOfAnEarlierEraAreIgnored(t *testing.T) {
	f, _ := newFresh()
	f.Read(cursor.Cursor{Era: 1, Version: 3}, 0)
	f.Confirm(cursor.Cursor{Era: 0, Version: 9}, 0)
	at, _ := f.Position()
	assert.Equal(t, at, cursor.Cursor{Era: 1, Version: 3})
	f.DropPosition()
	_, ok := f.Position()
	assert.Assert(t, !ok)
}

// A store that was restored from a copy and names no era gives versions out again, while
// peers still tell the higher ones of before.
func TestPositionsFromBeforeARestoreAreIgnored(t *testing.T) {
	f, advance := newFresh()
	advance(1000)
	f.Read(cursor.Cursor{Version: 90}, 1000)
	advance(100)
	f.DropPosition()
	f.Confirm(cursor.Cursor{Version: 90}, 1050)
	_, ok := f.Position()
	assert.Assert(t, !ok)
	f.Read(cursor.Cursor{Version: 50}, 1100)
	advance(100)
	f.Confirm(cursor.Cursor{Version: 90}, 1050)
	at, ok := f.Position()
	assert.Assert(t, ok)
	assert.Equal(t, at, cursor.Cursor{Version: 50})
	// A peer that was told later than this node.
	f.Confirm(cursor.Cursor{Version: 40}, 1150)
	at, _ = f.Position()
	assert.Equal(t, at, cursor.Cursor{Version: 40})
}

func TestPositionIsLostBeforeTheHistoryIsDropped(t *testing.T) {
	f, advance := newFresh()
	f.Read(cursor.Cursor{Version: 3}, 0)
	advance(10_001)
	_, ok := f.Position()
	assert.Assert(t, !ok)
	_, _, ok = f.Tell()
	assert.Assert(t, !ok)
}

// All nodes together repeat calls in vain some 16 times a second, however many they are.
func TestCallsInVainAreBoundedForTheFleet(t *testing.T) {
	f, _ := newFresh()
	for _, peers := range []int{15, 193, 9399} {
		perSecond := float64(peers+1) * 1000 / float64(f.RetryMillis(peers))
		assert.Assert(t, perSecond < 17, "%d peers: %.1f calls a second", peers, perSecond)
	}
}
