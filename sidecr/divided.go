package sidecr

import "bergamotloom.example/card"

// rejectedRatesLogMillis is the min time between two log lines of impossible rates on
// cards.
const rejectedRatesLogMillis = 1000

// learnDivide takes in the demand on a peer's card.
func (n *Sidecar) learnDivide(c card.Card) {
	if n.divide.Learn(c) {
		return
	}
	now := n.clock.Now()
	if last := n.rejectedRatesMillis.Load(); now-last >= rejectedRatesLogMillis && n.rejectedRatesMillis.CompareAndSwap(last, now) {
		n.log.Warn("node: ignored impossible rates on a card", "Peer", c.Peers)
	}
}

// logDivided logs the grades that are admitted in part at this entry. It's called once a
// second.
func (n *Sidecar) logDivided() {
	for _, state := range n.divide.States() {
		n.log.Info("entry: a grade is admitted in part", state...)
	}
}
