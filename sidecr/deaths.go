package sidecr

import (
	"sync"

	"bergamotloom.example/card"
)

// targetStarts remembers which target runs beside each peer, to notice from the
// peers' cards that one has died and another one started. It's safe for concurrent
// use.
type targetStarts struct {
	mutex  sync.Mutex
	millis map[string]int64
}

// learn takes in a card. It returns the start time of the target that died beside
// the peer since the last card, false if none did. A target that announced its end
// hasn't died.
func (t *targetStarts) learn(c card.Card) (startMillis int64, died bool) {
	if c.TargetStartMillis == 0 {
		return 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before, ok := t.millis[c.Peers]
	if before > c.TargetStartMillis {
		return 0, false
	}
	t.millis[c.Peers] = c.TargetStartMillis
	return before, ok && before != c.TargetStartMillis && c.LeftStartMillis < before
}

func (t *targetStarts) forget(peer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.millis, peer)
}
