package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/member"
)

const (
	// MaxMessageBytes is the max size of a message that is accepted.
	MaxMessageBytes = 512 << 10
	// MaxValueBytes is the max size of the value of a fact.
	MaxValueBytes = 256 << 10

	// Limits of the decoder for malformed or hostile messages.
	maxNestedLevels = 8
	maxElements     = 16 << 10
	maxMapPairs     = 64
	maxIDBytes      = 256
)

// message is sent from one node to another. Empty parts take no space.
type message struct {
	// Incarnation is the sender's; each message shows that it's alive.
	Incarnation int64        `cbor:"1,keyasint"`
	Probe       *probe       `cbor:"2,keyasint,omitempty"`
	Comparison  *comparison  `cbor:"3,keyasint,omitempty"`
	Recent      *hashList    `cbor:"4,keyasint,omitempty"`
	Wants       []uint64     `cbor:"5,keyasint,omitempty"`
	Members     []wireMember `cbor:"6,keyasint,omitempty"`
	Facts       []wireFact   `cbor:"7,keyasint,omitempty"`
}

type probeKind uint8

const (
	// probePing asks the receiver for an acknowledgement.
	probePing probeKind = 1
	// probeAck says that the node named by About is alive.
	probeAck probeKind = 2
	// probeRelay asks the receiver to ping the node named by About.
	probeRelay probeKind = 3
)

// probe asks whether a node is alive, or is the response.
type probe struct {
	Kind probeKind `cbor:"1,keyasint"`
	// Origin is the node to which the response is relayed, if it isn't the sender.
	Origin string `cbor:"2,keyasint,omitempty"`
	// About is the probed node; Incarnation is set in a response.
	About       string `cbor:"3,keyasint,omitempty"`
	Incarnation int64  `cbor:"4,keyasint,omitempty"`
}

// comparisonStage is the progress of a comparison of the states of two nodes.
type comparisonStage uint8

const (
	// stageRoot contains the root hash of the node that began.
	stageRoot comparisonStage = 1
	// stageSame responds that the roots are equal.
	stageSame comparisonStage = 2
	// stageGroups contains all group hashes of the other node.
	stageGroups comparisonStage = 3
	// stageLeaves contains the leaf hashes of the groups that differ.
	stageLeaves comparisonStage = 4
	// stageEntries lists the entries of the leaves that differ.
	stageEntries comparisonStage = 5
	// stageRequest requests entries, and stageSent contains the requested ones.
	stageRequest comparisonStage = 6
	stageSent    comparisonStage = 7
)

// comparison is one step of comparing the states of two nodes.
type comparison struct {
	Stage comparisonStage `cbor:"1,keyasint"`
	// ComparisonID identifies the comparison; the node that began it chose the
	// number.
	ComparisonID uint32 `cbor:"2,keyasint"`
	// Partial says that there are more differences than this comparison covers.
	Partial bool `cbor:"3,keyasint,omitempty"`
	// Root is the sender's root hash, in stageRoot.
	Root uint64 `cbor:"4,keyasint,omitempty"`
	// Nodes are the indices of groups in stageLeaves and of leaves in stageEntries.
	// Hashes are those of all groups in stageGroups, and of the leaves of the groups
	// in stageLeaves. Entries are the listed entries in stageEntries, the requested
	// ones in stageRequest.
	Nodes   []uint16  `cbor:"5,keyasint,omitempty"`
	Hashes  []uint32  `cbor:"6,keyasint,omitempty"`
	Entries *hashList `cbor:"7,keyasint,omitempty"`
}

// hashList lists entries by the hashes of their keys and of their versions
// (Marks).
type hashList struct {
	_     struct{} `cbor:",toarray"`
	Keys  []uint64
	Marks []uint32
}

func (l *hashList) add(e *entry) {
	l.Keys = append(l.Keys, e.key)
	l.Marks = append(l.Marks, e.versionHash)
}

// wireMember is the encoded form of a member's record. LeftMillis is how much
// longer a suspect or dead record is kept.
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

// wireFact is the encoded form of a fact. LeftMillis is the time until it expires, 0
// for a fact that never expires.
type wireFact struct {
	_          struct{} `cbor:",toarray"`
	Key        string
	Version    int64
	Value      []byte
	LeftMillis int64
}

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(errors.Wrap(err, "gossip: creating the decoder"))
	}
	return mode
}

func encode(m message) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "gossip: encoding a message"))
	}
	return body
}

func decode(body []byte) (message, error) {
	var m message
	if len(body) > MaxMessageBytes {
		return m, errors.Errorf("message of %d bytes is over the limit", len(body))
	}
	if err := decMode.Unmarshal(body, &m); err != nil {
		return m, errors.Wrap(err, "decoding a message")
	}
	return m, m.check()
}

// check returns an error for a malformed list of hashes.
func (m message) check() error {
	if m.Recent != nil && len(m.Recent.Keys) != len(m.Recent.Marks) {
		return errors.New("numbers of keys and version hashes differ")
	}
	if m.Comparison == nil {
		return nil
	}
	if e := m.Comparison.Entries; e != nil && len(e.Keys) != len(e.Marks) {
		return errors.New("numbers of keys and version hashes differ")
	}
	return nil
}
