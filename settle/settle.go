// Package settle determines the outcome of a table transaction whose response
// was lost, without applying it twice.
//
// A transaction carries a client token, and the platform returns the first
// outcome for a repeated token. Because the platform drops tokens after some
// time, the marker row is read back before a repeat. Its value must be unique to
// the transaction: if it's in the table, the transaction was applied. A stale
// read may miss it; the repeat then returns the first outcome by its token, or is
// refused, and the marker row is read once more.
package settle

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/pause"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

// rereadDelay is the wait between a lost response and the read-back.
const rereadDelay = 50 * time.Millisecond

// Transact applies the writes once and returns whether they were applied. The
// token identifies the transaction. The first write is the marker: it must put a value that no other transaction
// puts, under a key that is never removed or overwritten. After a lost response
// it retries until ctx is done, and then returns an error because the outcome
// isn't known.
func Transact(ctx context.Context, t table.Table, token string, writes []write.Write) (bool, error) {
	applied, err := t.Transact(ctx, token, writes)
	for err != nil {
		lostErr := err
		if !pause.For(ctx, rereadDelay) {
			return false, errors.Wrap(lostErr, "the outcome isn't known")
		}
		isApplied, isRead := readBack(ctx, t, writes[0])
		if isRead && isApplied {
			return true, nil
		}
		applied, err = t.Transact(ctx, token, writes)
		if err == nil && !applied {
			applied, err = confirm(ctx, t, writes[0])
		}
	}
	return applied, nil
}

// confirm tells whether a transaction whose repeat was refused was applied the
// first time, which the platform doesn't report once it has dropped the token. It
// relies on the first read that succeeds.
func confirm(ctx context.Context, t table.Table, marker write.Write) (bool, error) {
	for {
		isApplied, isRead := readBack(ctx, t, marker)
		if isRead {
			return isApplied, nil
		}
		if !pause.For(ctx, rereadDelay) {
			return false, errors.New("the outcome isn't known")
		}
	}
}

// readBack tells whether the marker is in the table, and whether the read
// succeeded.
func readBack(ctx context.Context, t table.Table, marker write.Write) (isApplied, isRead bool) {
	row, ok, err := t.Get(ctx, marker.Key)
	if err != nil {
		return false, false
	}
	return ok && bytes.Equal(row.Value, marker.Value), true
}
