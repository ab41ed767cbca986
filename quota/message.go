package quota

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// kind tells the messages apart.
type kind uint8

const (
	// kindAsk goes from a holder to the home: what it used, has left, needs.
	kindAsk kind = iota + 1
	// kindGrant answers an ask.
	kindGrant
	// kindRecall asks a holder to give back what it hasn't used.
	kindRecall
	// kindReturn gives tokens back unasked, and isn't answered.
	kindReturn
	// kindLease carries a body of package lease.
	kindLease
)

// message is what nodes send each other. Any may be lost, doubled or late.
type message struct {
	Kind        kind   `cbor:"1,keyasint"`
	Team        string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	// Stamp names the reign whose tokens are meant, 0 for none.
	Stamp int64 `cbor:"4,keyasint,omitempty"`
	Seq   int64 `cbor:"5,keyasint,omitempty"`
	// Version is the term that the asker knows.
	Version int64 `cbor:"6,keyasint,omitempty"`
	// Used and Left are the holder's counts of tokens; Need is for requests
	// that wait, Ahead for those to come.
	Used  int64 `cbor:"7,keyasint,omitempty"`
	Left  int64 `cbor:"8,keyasint,omitempty"`
	Need  int64 `cbor:"9,keyasint,omitempty"`
	Ahead int64 `cbor:"10,keyasint,omitempty"`
	// Tokens are granted ahead of use, Urgent for requests that wait; after
	// ShortMillis there may be more.
	Tokens      int64  `cbor:"11,keyasint,omitempty"`
	Urgent      int64  `cbor:"14,keyasint,omitempty"`
	ShortMillis int64  `cbor:"12,keyasint,omitempty"`
	Body        []byte `cbor:"13,keyasint,omitempty"`
}

func encode(m message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "quota: a message of our own can't be encoded"))
	}
	return body
}

// decode returns false for bytes that are no message or hold absurd counts.
func decode(body []byte) (message, bool) {
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return message{}, false
	}
	least := min(m.Seq, m.Version, m.Used, m.Left, m.Need, m.Ahead, m.Tokens, m.Urgent, m.ShortMillis)
	most := max(m.Left, m.Need, m.Ahead, m.Tokens, m.Urgent, m.ShortMillis)
	return m, least >= 0 && most <= absurd
}

// absurd is more tokens or milliseconds than any message speaks of.
const absurd = 1 << 40
