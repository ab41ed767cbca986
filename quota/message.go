package quota

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// kind is the type of a message.
type kind uint8

const (
	// kindRequest is a token request of a holder to the owner: how many tokens
	// it has used, has left and needs.
	kindRequest kind = iota + 1
	// kindGrant is the response to a token request.
	kindGrant
	// kindRevoke asks a holder to return its unused tokens.
	kindRevoke
	// kindReturn returns tokens to the owner; it gets no response.
	kindReturn
	// kindLease contains a message of package lease.
	kindLease
)

// message is sent between nodes. It may be lost, duplicated or delayed.
type message struct {
	Kind        kind   `cbor:"1,keyasint"`
	Team        string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	// EpochID identifies the epoch of the tokens, 0 for none. In a kindGrant, 0
	// means that the owner can't grant tokens yet.
	EpochID int64 `cbor:"4,keyasint,omitempty"`
	// Seq numbers the token requests and returns of a holder; the response repeats
	// it.
	Seq int64 `cbor:"5,keyasint,omitempty"`
	// Version is the version of the team's row (the term) that the sender knows.
	Version int64 `cbor:"6,keyasint,omitempty"`
	// Used counts the tokens that the holder has used, without urgent ones; Left is
	// how many it has left. Need is the number wanted for waiting requests, Prefetch
	// that for future ones.
	Used     int64 `cbor:"7,keyasint,omitempty"`
	Left     int64 `cbor:"8,keyasint,omitempty"`
	Need     int64 `cbor:"9,keyasint,omitempty"`
	Prefetch int64 `cbor:"10,keyasint,omitempty"`
	// Tokens are granted ahead of use, Urgent for waiting requests. More may be
	// available after RetryMillis.
	Tokens      int64  `cbor:"11,keyasint,omitempty"`
	Urgent      int64  `cbor:"14,keyasint,omitempty"`
	RetryMillis int64  `cbor:"12,keyasint,omitempty"`
	Body        []byte `cbor:"13,keyasint,omitempty"`
}

func encode(m message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "quota: encoding a message"))
	}
	return body
}

// decode returns false for a malformed message, or one with a number below 0 or a
// count above maxCount.
func decode(body []byte) (message, bool) {
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return message{}, false
	}
	smallest := min(m.Seq, m.Version, m.Used, m.Left, m.Need, m.Prefetch, m.Tokens, m.Urgent, m.RetryMillis)
	largest := max(m.Left, m.Need, m.Prefetch, m.Tokens, m.Urgent, m.RetryMillis)
	return m, smallest >= 0 && largest <= maxCount
}

// maxCount is above any valid number of tokens or milliseconds in a message.
const maxCount = 1 << 40
