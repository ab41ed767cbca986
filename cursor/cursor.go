// Package cursor holds a position in the history of the store.
package cursor

// Cursor is a position in the history of the store. It's a value. Versions of
// different eras can't be compared.
type Cursor struct {
	// Era counts how often the store was restored from a copy. Each time, versions
	// go back and are given out again.
	Era int64
	// Version is the version of the store's last change up to here.
	Version int64
}
