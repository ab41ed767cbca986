package gossip_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/gossip"
)

// FuzzReceive checks that no bytes from a peer crash a node or corrupt its own
// record.
func FuzzReceive(f *testing.F) {
	for _, message := range recordedMessages() {
		f.Add(message)
	}
	f.Add([]byte{})
	f.Add([]byte{0xbf, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		c, advance := clock.NewManual(startMillis)
		g := gossip.New(record(0), c, 1, func(string, []byte) {})
		g.Learn(record(1))
		g.Receive(id(1), message)
		g.Receive("10.9.9.9:1", message)
		advance(10_000)
		g.Tick()
		m := g.Self()
		// A peer may confirm this node dead, but not otherwise change its record.
		assert.Assert(t, g.IsSelfConfirmedDead() || m.Incarnation == startMillis && !m.Suspect)
	})
}

// recordedMessages returns messages of all kinds that were sent in a small fleet.
func recordedMessages() [][]byte {
	w := newNet(5, 0.1)
	var messages [][]byte
	w.OnSend = func(_, _ string, message []byte) { messages = append(messages, message) }
	w.nodes[1].Publish("version", 1, make([]byte, 500))
	w.nodes[2].Join(id(4))
	w.Pause(id(3), 4000)
	w.Run(6000, nil)
	return messages[:min(len(messages), 400)]
}
