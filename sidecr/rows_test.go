package sidecr

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/record"
)

func TestOnlyRowsThatWereNotRenewedAreStale(t *testing.T) {
	const now = 100 * staleMillis
	rows := []record.Record{
		{Key: "old", Version: 3, Value: mustJSON(nodeRow{"a", now - staleMillis - 1})},
		{Key: "fresh", Version: 4, Value: mustJSON(nodeRow{"b", now - 2*renewMillis})},
		// A node whose clock is ahead.
		{Key: "ahead", Version: 5, Value: mustJSON(nodeRow{"c", now + staleMillis})},
		{Key: "foreign", Version: 6, Value: []byte("machine-1")},
		{Key: "empty", Version: 7, Value: []byte(`{}`)},
	}
	assert.DeepEqual(t, stale(rows, now), map[string]int64{"old": 3})
}
