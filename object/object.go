// Package object is the interface to the platform's object store.
package object

import "context"

// Store is the platform's object store. An error means that the outcome isn't
// known.
type Store interface {
	// Put stores a value under a name; a later one replaces it.
	Put(ctx context.Context, name string, value []byte) error
	// Get returns the value under a name, and whether there is one.
	Get(ctx context.Context, name string) ([]byte, bool, error)
	// List returns the names that begin with the prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
}
