package slope_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/slope"
)

// TestCostsStayInBounds holds membership to its part of what a node may spend
// for control at the size aimed at: 2 KB a second, 1.2% of a core, 128 MB.
func TestCostsStayInBounds(t *testing.T) {
	const (
		members           = 9400
		changesPerSecond  = 10_000.0 / (24 * 60 * 60)
		bytesPerSecond    = 2000
		heapBytes         = 10 << 20
		headerBytes       = 3 * 52 // of TCP and IP, for a message and its answer
		outMillis         = 3000
		outOfRegionMillis = 5000
	)
	r, err := slope.Measure([]int{64, 128}, []int{members}, 330, 1)
	assert.NilError(t, err)
	around := r.Transport.BytesPerMessage + headerBytes
	spent := float64(0)
	for _, i := range r.Idle {
		spent = max(spent, i.BytesPerSecond+i.MessagesPerSecond*around)
	}
	dearest := float64(0)
	for _, e := range r.Events {
		dearest = max(dearest, e.Bytes+e.Messages*around)
	}
	// As many changes of members come on top of those of the configuration.
	spent += 2 * changesPerSecond * dearest
	assert.Assert(t, spent < bytesPerSecond, "%.0f bytes a second", spent)
	assert.Assert(t, r.Joins[0].HeapBytes < heapBytes)
	for _, w := range r.Wear {
		bound := int64(outMillis)
		if w.Kind != "a data centre is lost" {
			bound = outOfRegionMillis
		}
		assert.Assert(t, w.OutMillis > 0 && w.OutMillis <= bound, "%+v", w)
	}
}
