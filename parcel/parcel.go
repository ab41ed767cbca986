// Package parcel defines the batch of control messages that nodes send each other.
package parcel

import "github.com/pkg/errors"

// Batch is the argument of the remote procedure that delivers messages.
type Batch struct {
	// The fields are encoded as an array, without their names.
	_ struct{} `cbor:",toarray"`
	// From is the ID of the sending node.
	From string
	// Kinds and Bodies hold the protocol and the content of each message.
	Kinds  []string
	Bodies [][]byte
}

// New returns an empty Batch from a sender.
func New(from string) *Batch {
	return &Batch{From: from}
}

// Add adds a message.
func (b *Batch) Add(kind string, body []byte) {
	b.Kinds = append(b.Kinds, kind)
	b.Bodies = append(b.Bodies, body)
}

// Check returns an error if the batch is malformed: without a sender, or with
// different numbers of kinds and bodies.
func (b *Batch) Check() error {
	if b.From == "" || len(b.Kinds) != len(b.Bodies) {
		return errors.New("parcel: a batch of messages is malformed")
	}
	return nil
}
