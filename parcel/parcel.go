// Package parcel defines the batch of control messages that nodes send each other.
package parcel

import "github.com/pkg/errors"

// Batch is a batch of messages, the argument of the remote procedure that delivers
// them.
type Batch struct {
	// The fields are encoded as an array, without their names.
	_ struct{} `cbor:",toarray"`
	// From is the ID of the sending node.
	From string
	// Kinds and Bodies hold the protocol and the content of each message.
	Kinds  []string
	Bodies [][]byte
}

// New returns an empty Parcel from a sender.
func New(from string) *Batch {
	return &Batch{From: from}
}

// Add adds a message.
func (p *Batch) Add(kind string, body []byte) {
	p.Kinds = append(p.Kinds, kind)
	p.Bodies = append(p.Bodies, body)
}

// Check returns an error if the batch is malformed: without a sender, or with
// different numbers of kinds and bodies.
func (p *Batch) Check() error {
	if p.From == "" || len(p.Kinds) != len(p.Bodies) {
		return errors.New("parcel: malformed batch of messages")
	}
	return nil
}
