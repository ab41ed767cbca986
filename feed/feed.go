// Package feed is the port to a store whose changes can be waited for.
package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/record"
)

// ErrForgotten says that the store no longer has the history asked for.
var ErrForgotten = errors.New("the history asked for is gone")

// ErrChanged says that a row isn't as the writer believed.
var ErrChanged = errors.New("the row was changed")

// Feed is a store of rows in named tables. Any other error than those above
// means that the outcome isn't known.
type Feed interface {
	// Rows returns all rows of a table, and the version that they show.
	Rows(ctx context.Context, table string) ([]record.Record, int64, error)
	// Changes waits for rows that changed after the version, at most for wait,
	// and returns them with the version to go on from. A removed row has no
	// value.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]record.Record, int64, error)
	// Put writes a row whatever it held.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row if it still has the version.
	Remove(ctx context.Context, table, key string, version int64) error
}
