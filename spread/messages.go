package spread

import (
	"context"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"

	"bergamotloom.example/change"
)

// message is sent between Spreaders: a request for changes, or the response.
type message struct {
	// After is the latest version that the requester has; it's only set in a
	// request.
	After int64 `cbor:"1,keyasint,omitempty"`
	// IsRequest says that the message is a request for changes.
	IsRequest bool `cbor:"2,keyasint,omitempty"`
	// Changes holds encoded changes in order of version.
	Changes [][]byte `cbor:"3,keyasint,omitempty"`
}

// received is a message that hasn't been decoded yet.
type received struct {
	from string
	body []byte
}

// requestFromPeer requests the changes after the version from a random other node.
func (s *Spreader) requestFromPeer(after int64) {
	var peers []string
	for _, m := range s.gossip.Members() {
		if m.ID != s.self && !m.Suspect {
			peers = append(peers, m.ID)
		}
	}
	if len(peers) == 0 {
		return
	}
	s.post(peers[rand.IntN(len(peers))], message{After: after, IsRequest: true})
}

func (s *Spreader) post(to string, n message) {
	body, err := cbor.Marshal(n)
	if err != nil {
		panic("spread: encoding a message: " + err.Error())
	}
	s.send(to, Kind, body)
}

// Receive queues a message of another node's Spreader. It never blocks; if the queue
// is full, the message is dropped.
func (s *Spreader) Receive(from string, body []byte) {
	s.incoming.Put(received{from, body})
}

// RunMessages handles peers' requests and responses until the context ends.
func (s *Spreader) RunMessages(ctx context.Context) {
	for {
		in, ok := s.incoming.Take(ctx)
		if !ok {
			return
		}
		var n message
		if err := cbor.Unmarshal(in.body, &n); err != nil {
			s.log.Warn("config: a peer sent a malformed message", "Error", err)
			continue
		}
		if n.IsRequest {
			s.respond(in.from, n.After)
		}
		for _, encoded := range n.Changes {
			s.applyEncoded(encoded)
		}
	}
}

// respond sends the changes after the version, or the whole configuration if there
// are too many of them or one is no longer kept.
func (s *Spreader) respond(to string, after int64) {
	current := s.store.Current().Version()
	if current <= after {
		return
	}
	changes := make([]change.Change, 0, maxChanges)
	for v := after + 1; v <= current; v++ {
		c, ok := s.store.Change(v)
		if !ok || len(changes) == maxChanges {
			changes = []change.Change{s.store.Whole()}
			break
		}
		changes = append(changes, c)
	}
	var n message
	for _, c := range changes {
		encoded, err := c.Encode()
		if err != nil {
			panic("spread: encoding a change: " + err.Error())
		}
		n.Changes = append(n.Changes, encoded)
	}
	s.post(to, n)
}
