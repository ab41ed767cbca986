package spread

import (
	"context"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"bergamotloom.example/change"
)

// note is a message between spreaders: a question, or an answer to one.
type note struct {
	// Want is the version after which the sender misses changes.
	Want int64 `cbor:"1,keyasint,omitempty"`
	// Question says that Want asks for changes.
	Question bool `cbor:"2,keyasint,omitempty"`
	// Changes holds encoded changes in the order of their versions.
	Changes [][]byte `cbor:"3,keyasint,omitempty"`
}

// incoming is a message that waits to be read.
type incoming struct {
	from string
	body []byte
}

// askPeer asks some other node for the changes after the version.
func (s *Spreader) askPeer(after int64) {
	var others []string
	for _, m := range s.gossip.Members() {
		if m.ID != s.self && !m.Suspect {
			others = append(others, m.ID)
		}
	}
	if len(others) == 0 {
		return
	}
	s.post(others[rand.IntN(len(others))], note{Want: after, Question: true})
}

func (s *Spreader) post(to string, n note) {
	body, err := cbor.Marshal(n)
	if err != nil {
		panic("spread: a note has no CBOR form: " + err.Error())
	}
	s.send(to, Kind, body)
}

// Receive takes a message of another spreader.
func (s *Spreader) Receive(from string, body []byte) {
	s.notes.Put(incoming{from, body})
}

// RunMessages answers peers' questions and takes their answers until the context
// ends.
func (s *Spreader) RunMessages(ctx context.Context) {
	for {
		in, ok := s.notes.Take(ctx)
		if !ok {
			return
		}
		var n note
		if err := cbor.Unmarshal(in.body, &n); err != nil {
			s.log.Warn("config: a peer sent a malformed note", "Error", err)
			continue
		}
		if n.Question {
			s.answer(in.from, n.Want)
		}
		for _, encoded := range n.Changes {
			s.offerEncoded(encoded)
		}
	}
}

// answer sends the changes after the version, or the whole configuration when
// they are too many or no longer kept.
func (s *Spreader) answer(to string, after int64) {
	current := s.store.Current().Version()
	if current <= after {
		return
	}
	changes := make([]change.Change, 0, changesMost)
	for v := after + 1; v <= current; v++ {
		c, ok := s.store.Change(v)
		if !ok || len(changes) == changesMost {
			changes = []change.Change{s.store.Whole()}
			break
		}
		changes = append(changes, c)
	}
	var n note
	for _, c := range changes {
		encoded, err := c.Encode()
		if err != nil {
			panic("spread: a change has no CBOR form: " + err.Error())
		}
		n.Changes = append(n.Changes, encoded)
	}
	s.post(to, n)
}
