// Package feed declares the interface to a store that can be watched for
// changes.
package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/record"
)

// ErrHistoryDropped is returned if the store no longer holds the requested
// history.
var ErrHistoryDropped = errors.New("the requested history was dropped")

// ErrChanged is returned if a row no longer has the expected version.
var ErrChanged = errors.New("the row was changed")

// Feed is a store of rows in named tables. Any error except those above means
// that the outcome is unknown.
type Feed interface {
	// Rows returns all rows of a table and the version at which they were read.
	Rows(ctx context.Context, table string) ([]record.Record, int64, error)
	// Changes waits up to timeout for rows that changed after the given
	// version, and returns them with the version for the next call. A removed
	// row has no value. After ErrHistoryDropped the rows must be read anew.
	Changes(ctx context.Context, table string, after int64, timeout time.Duration) ([]record.Record, int64, error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row if it still has the given version, and returns
	// ErrChanged if it doesn't.
	Remove(ctx context.Context, table, key string, version int64) error
	// Era returns how often the store has been restored from a copy, as far as its
	// responses have told.
	Era() int64
}
