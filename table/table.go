// Package table is the interface to the platform's transactional table service.
package table

import (
	"context"

	"bergamotloom.example/record"
	"bergamotloom.example/write"
)

// Table is the platform's table service. An error means that the outcome isn't
// known: the service was unavailable, slow or throttled, or its response was
// lost. A failed condition isn't an error but an outcome.
type Table interface {
	// Get returns the row with this key, and whether there is one.
	Get(ctx context.Context, key string) (record.Record, bool, error)
	// Scan returns the rows whose keys begin with the prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]record.Record, error)
	// Transact applies all writes or none, and returns whether it applied them.
	// The token identifies the transaction: a repeat with the same token
	// returns the first outcome and applies nothing again.
	Transact(ctx context.Context, token string, writes []write.Write) (bool, error)
}
