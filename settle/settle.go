// Package settle finds the outcome of a table transaction whose answer was
// lost, without applying it twice.
//
// A transaction carries a client token, and the platform answers a repeated
// token with the first outcome. Before a repeat the marker row is read back,
// because the platform forgets tokens after some time: the marker's value must
// be unique to the transaction, and if it's in the table the transaction was
// applied. An older read may miss it, which costs only the repeat.
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

// rereadPause is the wait between a lost answer and the read-back.
const rereadPause = 50 * time.Millisecond

// Transact applies the writes once and returns whether they were applied. The
// first write is the marker; it must put a value that no other transaction
// puts, under a key that nobody removes or overwrites. Lost answers are
// settled until ctx is done; then the error says that the outcome isn't known.
func Transact(ctx context.Context, t table.Table, token string, writes []write.Write) (bool, error) {
	applied, err := t.Transact(ctx, token, writes)
	for err != nil {
		lost := err
		if !pause.For(ctx, rereadPause) {
			return false, errors.Wrap(lost, "the outcome isn't known")
		}
		landed, known := readBack(ctx, t, writes[0])
		if known && landed {
			return true, nil
		}
		applied, err = t.Transact(ctx, token, writes)
		if err == nil && !applied {
			applied, err = confirm(ctx, t, writes[0])
		}
	}
	return applied, nil
}

// confirm makes sure that a refused repeat isn't one whose first outcome the
// platform has forgotten.
func confirm(ctx context.Context, t table.Table, marker write.Write) (bool, error) {
	for {
		landed, known := readBack(ctx, t, marker)
		if known {
			return landed, nil
		}
		if !pause.For(ctx, rereadPause) {
			return false, errors.New("the outcome isn't known")
		}
	}
}

// readBack tells whether the marker is in the table, and whether that could be
// found out.
func readBack(ctx context.Context, t table.Table, marker write.Write) (landed, known bool) {
	row, ok, err := t.Get(ctx, marker.Key)
	if err != nil {
		return false, false
	}
	return ok && bytes.Equal(row.Value, marker.Value), true
}
