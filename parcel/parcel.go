// Package parcel holds a batch of control messages on its way to another node.
package parcel

import "github.com/pkg/errors"

// Parcel is the argument of the remote procedure that delivers messages.
type Parcel struct {
	// The fields' names aren't sent.
	_ struct{} `cbor:",toarray"`
	// From is the ID of the node that sends.
	From string
	// Kinds and Bodies hold the protocol and the bytes of each message.
	Kinds  []string
	Bodies [][]byte
}

// New returns an empty parcel of a sender.
func New(from string) *Parcel {
	return &Parcel{From: from}
}

// Add puts another message in.
func (p *Parcel) Add(kind string, body []byte) {
	p.Kinds = append(p.Kinds, kind)
	p.Bodies = append(p.Bodies, body)
}

// Check returns an error if the parcel isn't well formed.
func (p *Parcel) Check() error {
	if p.From == "" || len(p.Kinds) != len(p.Bodies) {
		return errors.New("parcel: a batch of messages is malformed")
	}
	return nil
}
