// Package fact holds a small record that a node sends to all others with its
// status card.
package fact

// Fact is one such record. It's a value.
type Fact struct {
	// Number is the position of the fact among those that this incarnation of the
	// node has published, from 1 on.
	Number int64 `cbor:"1,keyasint"`
	// Key begins with a prefix of the package that handles the fact, which also
	// encodes Value.
	Key   string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint,omitempty"`
}
