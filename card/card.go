// Package card holds what a node tells the others of itself, many times a
// second.
package card

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/cutoff"
	"bergamotloom.example/fact"
)

// Card is the state of one node at one moment. Of two cards of a node the one
// with the higher incarnation, then the higher sequence, is the later one.
type Card struct {
	// Peers is the address for messages between nodes, and the node's identity.
	Peers string `cbor:"1,keyasint"`
	// Incarnation grows with each start of the node.
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    int64  `cbor:"3,keyasint"`
	Centre      string `cbor:"4,keyasint"`
	// Hops is the address for requests from other nodes.
	Hops string `cbor:"5,keyasint"`
	// Service and Target name what runs beside the node; Target is empty as
	// long as it's not known or takes no work.
	Service string `cbor:"6,keyasint"`
	Target  string `cbor:"7,keyasint,omitempty"`
	// Stopping says that the node itself is about to stop.
	Stopping bool `cbor:"8,keyasint,omitempty"`
	// Limit is how many requests the gate lets its target run at once.
	Limit   int `cbor:"9,keyasint,omitempty"`
	Running int `cbor:"10,keyasint,omitempty"`
	Waiting int `cbor:"11,keyasint,omitempty"`
	// RunMillis is how long a run takes, on average.
	RunMillis float32 `cbor:"12,keyasint,omitempty"`
	// Failing is the part of the runs that fail or that the target rejects.
	Failing float32 `cbor:"13,keyasint,omitempty"`
	// Cutoff and Least are the admission threshold for the roots in Uses, in
	// grades and as the part of the least shares.
	Cutoff float32 `cbor:"14,keyasint,omitempty"`
	Least  float32 `cbor:"20,keyasint,omitempty"`
	// Uses lists the roots that use the target, by the hashes of their names,
	// with the part of its time that each takes.
	Uses map[uint32]float32 `cbor:"15,keyasint,omitempty"`
	// Version is that of the configuration in force.
	Version int64 `cbor:"16,keyasint,omitempty"`
	// Admitted counts the requests that the node let in, by the hashes of the
	// teams' names, since its start.
	Admitted map[uint32]int64 `cbor:"17,keyasint,omitempty"`
	// Asked is the rate at which teams ask at the node, in requests a second.
	Asked map[uint32]float32 `cbor:"18,keyasint,omitempty"`
	// Left names the target beside the node that said last that it leaves.
	Left string `cbor:"19,keyasint,omitempty"`
	// UpMillis is for how long the node has counted what it let in.
	UpMillis int64 `cbor:"22,keyasint,omitempty"`
	// Facts are what the node tells all others once.
	Facts []fact.Fact `cbor:"21,keyasint,omitempty"`
}

// Newer tells whether the card is later than the other one of the same node.
func (c Card) Newer(other Card) bool {
	if c.Incarnation != other.Incarnation {
		return c.Incarnation > other.Incarnation
	}
	return c.Sequence > other.Sequence
}

// Threshold returns the admission threshold for the roots in Uses.
func (c Card) Threshold() cutoff.Cutoff {
	return cutoff.Cutoff{Grades: float64(c.Cutoff), MinFractionScale: float64(c.Least)}
}

// Limited tells whether the card's target can't take all requests that need it.
func (c Card) Limited() bool {
	return c.Target != "" && !c.Threshold().IsFull()
}

// Hash returns the short form of a name in a card.
func Hash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// Encode returns cards as one message.
func Encode(cards []Card) ([]byte, error) {
	text, err := cbor.Marshal(cards)
	return text, errors.Wrap(err, "card")
}

// Decode reads a message of cards.
func Decode(text []byte) ([]Card, error) {
	var cards []Card
	err := cbor.Unmarshal(text, &cards)
	return cards, errors.Wrap(err, "card")
}
