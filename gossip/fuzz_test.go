package gossip_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/gossip"
)

// FuzzReceive checks that no bytes from a peer stop a node or its record.
func FuzzReceive(f *testing.F) {
	for _, text := range overheard() {
		f.Add(text)
	}
	f.Add([]byte{})
	f.Add([]byte{0xbf, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		c, advance := clock.NewManual(startMillis)
		g := gossip.New(record(0), c, 1, func(string, []byte) {})
		g.Learn(record(1))
		g.Receive(id(1), text)
		g.Receive("10.9.9.9:1", text)
		advance(10_000)
		g.Tick()
		m := g.Self()
		assert.Assert(t, g.ConfirmedDead() || m.Incarnation == startMillis && !m.Suspect)
	})
}

// overheard returns messages of all kinds from a small net's life.
func overheard() [][]byte {
	w := newNet(5, 0.1)
	var texts [][]byte
	w.Overhear = func(_, _ string, text []byte) { texts = append(texts, text) }
	w.nodes[1].Publish("version", 1, make([]byte, 500))
	w.nodes[2].Join(id(4))
	w.Stop(id(3), 4000)
	w.Run(6000, nil)
	return texts[:min(len(texts), 400)]
}
