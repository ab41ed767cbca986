package lease

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// place is one incarnation of a node in an order of succession.
type place struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// row is the value of a team's row in the table.
type row struct {
	_     struct{} `cbor:",toarray"`
	Order []place
}

// beat is a heartbeat between two members of a term, or, with an order, tells
// another node which row is in force.
type beat struct {
	Version     int64   `cbor:"1,keyasint"`
	Incarnation int64   `cbor:"2,keyasint"`
	Seq         int64   `cbor:"3,keyasint,omitempty"`
	Echo        int64   `cbor:"4,keyasint,omitempty"`
	Order       []place `cbor:"5,keyasint,omitempty"`
}

func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "lease: a value of our own can't be encoded"))
	}
	return body
}

// Receive takes a body from the Lease of another node. It returns false if the
// body makes no sense.
func (l *Lease) Receive(from string, body []byte) bool {
	var b beat
	if err := cbor.Unmarshal(body, &b); err != nil || b.Version < 0 {
		return false
	}
	now := l.clock.Now()
	if b.Version > l.version && validOrder(b.Order) {
		l.adopt(b.Version, b.Order, now)
	}
	if b.Version < l.version {
		l.SendRow(from)
		return true
	}
	if b.Version > l.version {
		l.RequestRow(from)
		return true
	}
	if b.Seq > 0 {
		l.heard(from, b, now)
	}
	return true
}

// SendRow sends the row to another node.
func (l *Lease) SendRow(to string) {
	if l.version == 0 {
		return
	}
	l.ports.send(to, encode(beat{
		Version: l.version, Incarnation: l.self.Incarnation, Order: l.order,
	}))
}

// RequestRow asks another node for its row if it's newer.
func (l *Lease) RequestRow(to string) {
	l.ports.send(to, encode(beat{Version: l.version, Incarnation: l.self.Incarnation}))
}

// heard takes a heartbeat of the present term from another member.
func (l *Lease) heard(from string, b beat, now int64) {
	k := l.links[from]
	if k == nil || l.placeOf(from).Incarnation != b.Incarnation {
		return
	}
	isNew := b.Seq > k.heard
	if isNew {
		k.heard, k.heardAt = b.Seq, now
	}
	if sent := k.sentOf(b.Echo); sent > 0 {
		k.heldTill = max(k.heldTill, sent+leaseMillis)
	}
	if isNew && b.Echo == 0 && now-k.beatAt >= quickMillis {
		l.beatOne(from, k, now)
	}
}

// sentOf returns when the heartbeat with this number was sent, or 0.
func (k *link) sentOf(seq int64) int64 {
	if seq <= k.seq-ring || seq > k.seq {
		return 0
	}
	return k.sentAt[seq%ring]
}

func (l *Lease) beatAll(now int64) {
	for _, p := range l.order {
		k := l.links[p.ID]
		if k != nil && !l.isGone(p) && now-k.beatAt >= beatMillis {
			l.beatOne(p.ID, k, now)
		}
	}
}

// beatOne sends a heartbeat. It confirms the term to the other member, unless
// this node is about to write the next one.
func (l *Lease) beatOne(to string, k *link, now int64) {
	k.seq++
	k.sentAt[k.seq%ring] = now
	k.beatAt = now
	b := beat{Version: l.version, Incarnation: l.self.Incarnation, Seq: k.seq}
	if l.phase != claiming && l.phase != writing && k.heard > 0 {
		b.Echo = k.heard
		l.promisedAt = now
	}
	l.ports.send(to, encode(b))
}

func validOrder(order []place) bool {
	for _, p := range order {
		if p.ID == "" {
			return false
		}
	}
	return len(order) > 0
}
