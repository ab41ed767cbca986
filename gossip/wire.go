package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/member"
)

const (
	// MaxMessageBytes is the size of the largest message that is sent or taken.
	MaxMessageBytes = 512 << 10
	// MaxValueBytes is the size of the largest value of a fact.
	MaxValueBytes = 256 << 10

	maxNestedLevels = 8
	maxElements     = 16 << 10
	maxMapPairs     = 64
	maxIDBytes      = 256
)

// message is all that one node tells another at once. Parts that are empty
// take no space.
type message struct {
	// Incarnation is the sender's: the message is a life sign of it.
	Incarnation int64        `cbor:"1,keyasint"`
	Probe       *probe       `cbor:"2,keyasint,omitempty"`
	Walk        *walk        `cbor:"3,keyasint,omitempty"`
	Recent      *briefs      `cbor:"4,keyasint,omitempty"`
	Wants       []uint64     `cbor:"5,keyasint,omitempty"`
	People      []wireMember `cbor:"6,keyasint,omitempty"`
	Facts       []wireFact   `cbor:"7,keyasint,omitempty"`
}

type probeKind uint8

const (
	// probePing asks the receiver for an acknowledgement.
	probePing probeKind = 1
	// probeAck says that the node named by About lives.
	probeAck probeKind = 2
	// probeRelay asks the receiver to ping the node named by About.
	probeRelay probeKind = 3
)

// probe is a question for a life sign, or the answer.
type probe struct {
	Kind probeKind `cbor:"1,keyasint"`
	// Origin is the node that wants the answer, if it isn't the sender.
	Origin string `cbor:"2,keyasint,omitempty"`
	// About is the node in question, and its incarnation in an answer.
	About       string `cbor:"3,keyasint,omitempty"`
	Incarnation int64  `cbor:"4,keyasint,omitempty"`
}

// walkStage says how far two nodes have come in comparing their states.
type walkStage uint8

const (
	// walkRoot carries the root hash of the node that began.
	walkRoot walkStage = 1
	// walkSame answers that the roots are the same.
	walkSame walkStage = 2
	// walkGroups carries all group hashes of the node that was asked.
	walkGroups walkStage = 3
	// walkLeaves carries the leaf hashes of the groups that differ.
	walkLeaves walkStage = 4
	// walkBriefs lists the entries of the leaves that differ.
	walkBriefs walkStage = 5
	// walkWants asks for entries, walkGives has them in its message.
	walkWants walkStage = 6
	walkGives walkStage = 7
)

// walk is one step of comparing the states of two nodes.
type walk struct {
	Stage walkStage `cbor:"1,keyasint"`
	// Round names the walk; the node that began it chose the number.
	Round uint32 `cbor:"2,keyasint"`
	// Partial says that more differs than this walk covers.
	Partial bool     `cbor:"3,keyasint,omitempty"`
	Root    uint64   `cbor:"4,keyasint,omitempty"`
	Nodes   []uint16 `cbor:"5,keyasint,omitempty"`
	Hashes  []uint32 `cbor:"6,keyasint,omitempty"`
	Entries *briefs  `cbor:"7,keyasint,omitempty"`
}

// briefs lists entries by the hashes of their keys and of their versions.
type briefs struct {
	_     struct{} `cbor:",toarray"`
	Keys  []uint64
	Marks []uint32
}

func (b *briefs) add(e *entry) {
	b.Keys = append(b.Keys, e.key)
	b.Marks = append(b.Marks, e.mark)
}

// wireMember is a member's record between nodes. LeftMillis is how long a
// suspect or dead record is still remembered.
type wireMember struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
	Serial      int64
	Service     string
	Centre      string
	Region      string
	Callers     string
	Slots       int
	Flags       uint8
	LeftMillis  int64
}

const (
	flagReady uint8 = 1 << iota
	flagLeaving
	flagSuspect
	flagDead
)

func toWire(m member.Member, leftMillis int64) wireMember {
	return wireMember{
		ID:          m.ID,
		Incarnation: m.Incarnation,
		Serial:      m.Serial,
		Service:     m.Service,
		Centre:      m.Centre,
		Region:      m.Region,
		Callers:     m.Callers,
		Slots:       m.Slots,
		Flags:       flagsOf(m),
		LeftMillis:  leftMillis,
	}
}

func flagsOf(m member.Member) uint8 {
	var flags uint8
	for _, f := range []struct {
		set bool
		bit uint8
	}{
		{m.Ready, flagReady},
		{m.Leaving, flagLeaving},
		{m.Suspect, flagSuspect},
		{m.Dead, flagDead},
	} {
		if f.set {
			flags |= f.bit
		}
	}
	return flags
}

func (w wireMember) member() member.Member {
	return member.Member{
		ID:          w.ID,
		Incarnation: w.Incarnation,
		Serial:      w.Serial,
		Service:     w.Service,
		Centre:      w.Centre,
		Region:      w.Region,
		Callers:     w.Callers,
		Slots:       w.Slots,
		Ready:       w.Flags&flagReady != 0,
		Leaving:     w.Flags&flagLeaving != 0,
		Suspect:     w.Flags&flagSuspect != 0,
		Dead:        w.Flags&flagDead != 0,
	}
}

// wireFact is a fact between nodes. LeftMillis is how long it still holds, 0
// for a fact that holds for good.
type wireFact struct {
	_          struct{} `cbor:",toarray"`
	Key        string
	Version    int64
	Value      []byte
	LeftMillis int64
}

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "gossip: options of the decoder"))
	}
	return mode
}

func encode(m message) []byte {
	text, err := cbor.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "gossip: encoding a message"))
	}
	return text
}

func decode(text []byte) (message, error) {
	var m message
	if len(text) > MaxMessageBytes {
		return m, errors.Errorf("a message of %d bytes is over the limit", len(text))
	}
	if err := decoding.Unmarshal(text, &m); err != nil {
		return m, errors.Wrap(err, "decoding a message")
	}
	return m, m.check()
}

// check rejects messages that no node would send.
func (m message) check() error {
	if m.Recent != nil && len(m.Recent.Keys) != len(m.Recent.Marks) {
		return errors.New("keys and marks don't pair")
	}
	if m.Walk == nil {
		return nil
	}
	if e := m.Walk.Entries; e != nil && len(e.Keys) != len(e.Marks) {
		return errors.New("keys and marks don't pair")
	}
	return nil
}
