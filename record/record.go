// Package record holds one row of the platform's table service.
package record

// Record is one row as read from the table.
type Record struct {
	Key   string
	Value []byte
	// Version counts the writes to this key from 1.
	Version int64
}
