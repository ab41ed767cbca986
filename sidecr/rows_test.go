package sidecr

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/record"
)

func TestStaleRowsAreThoseNotRenewed(t *testing.T) {
	const now = 100 * staleMillis
	rows := []record.Record{
		{Key: "old", Version: 3, Value: encodeRow(nodeRow{"a", now - staleMillis - 1})},
		{Key: "fresh", Version: 4, Value: encodeRow(nodeRow{"b", now - 2*renewMillis})},
		// Written by a node whose clock is ahead.
		{Key: "ahead", Version: 5, Value: encodeRow(nodeRow{"c", now + staleMillis})},
		{Key: "foreign", Version: 6, Value: []byte("machine-1")},
		{Key: "empty", Version: 7, Value: []byte(`{}`)},
	}
	assert.DeepEqual(t, staleRows(rows, now), map[string]int64{"old": 3})
}
