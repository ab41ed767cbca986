// Package write holds one write of a transaction on the platform's table.
package write

// AnyVersion as IfVersion puts no condition on the row.
const AnyVersion int64 = -1

// Write changes one row, if the row still is as the writer believes.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	// IfVersion is the version that the row must have; 0 means that it must
	// be absent, AnyVersion that it doesn't matter.
	IfVersion int64
}

// Put returns a write that stores a value if the row has the given version.
func Put(key string, value []byte, ifVersion int64) Write {
	return Write{Key: key, Value: value, IfVersion: ifVersion}
}

// Check returns a write that changes nothing, but makes its transaction fail
// unless the row has the given version. It's told apart by its nil value.
func Check(key string, ifVersion int64) Write {
	return Write{Key: key, IfVersion: ifVersion}
}

// Remove returns a write that deletes a row if it has the given version.
func Remove(key string, ifVersion int64) Write {
	return Write{Key: key, Delete: true, IfVersion: ifVersion}
}

// ChecksOnly tells whether the write only checks a version.
func (w Write) ChecksOnly() bool {
	return !w.Delete && w.Value == nil
}
