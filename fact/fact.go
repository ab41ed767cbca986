// Package fact holds one thing that a node tells all others once, by its card.
package fact

// Fact is what a node tells. It's a value.
type Fact struct {
	// Number orders the facts of one start of a node, from 1 on.
	Number int64  `cbor:"1,keyasint"`
	Key    string `cbor:"2,keyasint"`
	Value  []byte `cbor:"3,keyasint,omitempty"`
}
