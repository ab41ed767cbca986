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
	// Page returns up to limit rows of a table, in the order of their keys and from a
	// key on, with the position at which they were read. More says that there are
	// further ones. The store may return fewer rows than the limit.
	Page(ctx context.Context, table, from string, limit int) (rows []record.Record, at cursor.Cursor, more bool, err error)
	// Changes waits up to timeout for rows that changed after the given position,
	// and returns them with the position for the next call. A removed row has no
	// value. After ErrHistoryDropped or ErrRestored the rows must be read anew.
	Changes(ctx context.Context, table string, after cursor.Cursor, timeout time.Duration) ([]record.Record, cursor.Cursor, error)
	// Put writes rows unconditionally, one in each of these tables and all or none of
	// them, and returns the era in which they're written.
	Put(ctx context.Context, rows map[string]record.Record) (era int64, err error)
	// Remove deletes a row if it still has the version at which it was read. It
	// returns ErrChanged if it doesn't, and ErrRestored, without a call, if the
	// store is known to have been restored since.
	Remove(ctx context.Context, table, key string, at cursor.Cursor) error
	// Era returns how often the store has been restored, as far as its responses
	// have told.
	Era() int64
}

// maxPageRows is the number of rows that is asked for at a time to read a table.
const maxPageRows = 500

// Rows returns all rows of a table and the position at which the first of them were
// read; rows that changed since then are returned with their later values, or
// aren't. It returns ErrRestored if the store was restored meanwhile, and another
// error if a call fails.
func Rows(ctx context.Context, f Feed, table string) ([]record.Record, cursor.Cursor, error) {
	var all []record.Record
	var first cursor.Cursor
	for from := ""; ; {
		rows, at, more, err := f.Page(ctx, table, from, maxPageRows)
		if err != nil {
			return nil, cursor.Cursor{}, err
		}
		if from == "" {
			first = at
		} else if at.Era != first.Era {
			return nil, cursor.Cursor{}, ErrRestored
		}
		all = append(all, rows...)
		if !more || len(rows) == 0 {
			return all, first, nil
		}
		// The smallest key after the last one of this page.
		from = rows[len(rows)-1].Key + "\x00"
	}
}
