package sidecr

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/muster"
	"bergamotloom.example/record"
)

func TestStaleRowsAreThoseNotRenewed(t *testing.T) {
	const now = 100 * staleMillis
	rows := []record.Record{
		{Key: "old", Version: 3, Value: encodeRow(nodeRow{Name: "a", WrittenMillis: now - staleMillis - 1})},
		{Key: "fresh", Version: 4, Value: encodeRow(nodeRow{Name: "b", WrittenMillis: now - 2*muster.RenewMillis})},
		// Written by a node whose clock is ahead.
		{Key: "ahead", Version: 5, Value: encodeRow(nodeRow{Name: "c", WrittenMillis: now + staleMillis})},
		{Key: "foreign", Version: 6, Value: []byte("machine-1")},
		{Key: "empty", Version: 7, Value: []byte(`{}`)},
	}
	assert.DeepEqual(t, staleRows(rows, now), map[string]int64{"old": 3})
}

func TestOwnRowIsWrittenAgainUnlessItIsFresh(t *testing.T) {
	const now = 100 * staleMillis
	for _, c := range []struct {
		name  string
		row   nodeRow
		fresh bool
	}{
		{"none", nodeRow{}, false},
		{"of an earlier build", nodeRow{Name: "a", WrittenMillis: now - 1000}, false},
		{"fresh", nodeRow{Name: "a", WrittenMillis: now - 1000, TellsLeft: true}, true},
		{"of a clock that is ahead", nodeRow{Name: "a", WrittenMillis: now + 1000, TellsLeft: true}, true},
		{"old", nodeRow{Name: "a", WrittenMillis: now - freshMillis, TellsLeft: true}, false},
	} {
		assert.Equal(t, c.row.isFresh(now), c.fresh, c.name)
	}
}
