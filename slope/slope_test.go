package slope_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/slope"
)

// TestCostsStayInBounds checks the bytes and the heap that membership costs a node.
// At the intended size of a fleet, a node may spend 2 KB a second, 1.2% of a core
// and 128 MB on control, of which membership takes a fraction. The join is measured
// with that many members, the other costs in smaller fleets.
func TestCostsStayInBounds(t *testing.T) {
	const (
		members             = 9400
		changesPerSecond    = 10_000.0 / (24 * 60 * 60)
		bytesPerSecond      = 2000
		heapBytes           = 10 << 20
		headerBytes         = 3 * 52 // of TCP and IP, for a message and its response
		maxCentreLossMillis = 3000
		maxPartitionMillis  = 5000
	)
	r, err := slope.Measure([]int{64, 128}, []int{members}, 330, 1)
	assert.NilError(t, err)
	overheadBytes := r.Transport.BytesPerMessage + headerBytes
	spentBytes := float64(0)
	for _, i := range r.Idle {
		spentBytes = max(spentBytes, i.BytesPerSecond+i.MessagesPerSecond*overheadBytes)
	}
	maxChangeBytes := float64(0)
	for _, e := range r.Events {
		maxChangeBytes = max(maxChangeBytes, e.Bytes+e.Messages*overheadBytes)
	}
	// The members and the configuration each change changesPerSecond times a second.
	spentBytes += 2 * changesPerSecond * maxChangeBytes
	assert.Assert(t, spentBytes < bytesPerSecond, "membership costs %.0f bytes a second", spentBytes)
	assert.Assert(t, r.Joins[0].HeapBytes < heapBytes)
	for _, w := range r.Wear {
		bound := int64(maxCentreLossMillis)
		if w.Kind != "a data centre is lost" {
			bound = maxPartitionMillis
		}
		assert.Assert(t, w.OutMillis > 0 && w.OutMillis <= bound, "fault not known in time: %+v", w)
	}
}
