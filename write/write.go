// Package write holds one write of a transaction on the platform's table.
package write

// AnyVersion is the IfVersion without condition; the row may also be absent.
const AnyVersion int64 = -1

// Write changes one row if it still has the version that the writer expects.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	// IfVersion is the version that the row must have; 0 means that the row
	// must be absent, AnyVersion that there's no condition.
	IfVersion int64
}

// Put returns a write that sets the value, which must not be nil, if the row
// has the given version.
func Put(key string, value []byte, ifVersion int64) Write {
	return Write{Key: key, Value: value, IfVersion: ifVersion}
}

// Check returns a write that changes nothing, but makes its transaction fail
// unless the row has the given version. It's recognised by its nil value.
func Check(key string, ifVersion int64) Write {
	return Write{Key: key, IfVersion: ifVersion}
}

// Remove returns a write that deletes a row if it has the given version.
func Remove(key string, ifVersion int64) Write {
	return Write{Key: key, Delete: true, IfVersion: ifVersion}
}

// ChecksOnly reports whether the write only checks a version.
func (w Write) ChecksOnly() bool {
	return !w.Delete && w.Value == nil
}
