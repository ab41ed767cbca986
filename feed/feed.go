// Package feed declares the interface to a store that can be watched for
// changes.
package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/cursor"
	"bergamotloom.example/record"
)

// ErrHistoryDropped is returned if the store no longer holds the requested
// history.
var ErrHistoryDropped = errors.New("the requested history was dropped")

// ErrChanged is returned if a row no longer has the expected version.
var ErrChanged = errors.New("the row was changed")

// ErrRestored is returned if the store was restored from a copy since the given
// position, or while rows were read: versions were given out again.
var ErrRestored = errors.New("the store was restored from a copy")

// Feed is a store of rows in named tables. Any error except those above means
// that the outcome is unknown.
type Feed interface {
	// Rows returns all rows of a table and the position at which they were read.
	// It returns ErrRestored if the store was restored meanwhile.
	Rows(ctx context.Context, table string) ([]record.Record, cursor.Cursor, error)
	// Changes waits up to timeout for rows that changed after the given position,
	// and returns them with the position for the next call. A removed row has no
	// value. After ErrHistoryDropped or ErrRestored the rows must be read anew.
	Changes(ctx context.Context, table string, after cursor.Cursor, timeout time.Duration) ([]record.Record, cursor.Cursor, error)
	// Put writes a row unconditionally, and returns the era in which it's written.
	Put(ctx context.Context, table, key string, value []byte) (era int64, err error)
	// Remove deletes a row if it still has the version at which it was read. It
	// returns ErrChanged if it doesn't, and ErrRestored, without a call, if the
	// store is known to have been restored since.
	Remove(ctx context.Context, table, key string, at cursor.Cursor) error
	// Era returns how often the store has been restored, as far as its responses
	// have told.
	Era() int64
}
