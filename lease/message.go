package lease

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// memberRef is one incarnation of a node in an order of succession.
type memberRef struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// row is the value of a team's row in the table.
type row struct {
	_     struct{} `cbor:",toarray"`
	Order []memberRef
}

// heartbeat is a heartbeat between two members of a term. With an order, it
// tells another node the current row.
type heartbeat struct {
	Version     int64       `cbor:"1,keyasint"`
	Incarnation int64       `cbor:"2,keyasint"`
	Seq         int64       `cbor:"3,keyasint,omitempty"`
	Echo        int64       `cbor:"4,keyasint,omitempty"`
	Order       []memberRef `cbor:"5,keyasint,omitempty"`
}

func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "lease: encoding a value"))
	}
	return body
}

// Receive handles a body from the Lease of another node. It returns false if the
// body is malformed.
func (l *Lease) Receive(from string, body []byte) bool {
	var b heartbeat
	if err := cbor.Unmarshal(body, &b); err != nil || b.Version < 0 {
		return false
	}
	now := l.clock.Now()
	if b.Version > l.version && validOrder(b.Order) {
		l.applyRow(b.Version, b.Order, now)
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
		l.handleHeartbeat(from, b, now)
	}
	return true
}

// SendRow sends the row to another node, if one is known.
func (l *Lease) SendRow(to string) {
	if l.version == 0 {
		return
	}
	l.callbacks.send(to, encode(heartbeat{
		Version: l.version, Incarnation: l.self.Incarnation, Order: l.order,
	}))
}

// RequestRow asks another node for its row if it's newer.
func (l *Lease) RequestRow(to string) {
	l.callbacks.send(to, encode(heartbeat{Version: l.version, Incarnation: l.self.Incarnation}))
}

// handleHeartbeat handles a heartbeat of the current term from another member.
func (l *Lease) handleHeartbeat(from string, b heartbeat, now int64) {
	k := l.peers[from]
	if k == nil || l.memberWithID(from).Incarnation != b.Incarnation {
		return
	}
	isNew := b.Seq > k.receivedSeq
	if isNew {
		k.receivedSeq, k.lastSeenMillis = b.Seq, now
	}
	if sent := k.sentTime(b.Echo); sent > 0 {
		k.leaseEndMillis = max(k.leaseEndMillis, sent+leaseMillis)
	}
	if isNew && b.Echo == 0 && now-k.heartbeatAt >= minHeartbeatMillis {
		l.sendHeartbeat(from, k, now)
	}
}

// sentTime returns when the heartbeat with this number was sent, or 0 if that
// isn't recorded any more.
func (k *peerState) sentTime(seq int64) int64 {
	if seq <= k.seq-sentHistory || seq > k.seq {
		return 0
	}
	return k.sentAt[seq%sentHistory]
}

func (l *Lease) sendHeartbeats(now int64) {
	for _, p := range l.order {
		k := l.peers[p.ID]
		if k != nil && !l.isDead(p) && now-k.heartbeatAt >= heartbeatMillis {
			l.sendHeartbeat(p.ID, k, now)
		}
	}
}

// sendHeartbeat sends a heartbeat to another member. It confirms the term,
// unless this node is about to write the next one.
func (l *Lease) sendHeartbeat(to string, k *peerState, now int64) {
	k.seq++
	k.sentAt[k.seq%sentHistory] = now
	k.heartbeatAt = now
	b := heartbeat{Version: l.version, Incarnation: l.self.Incarnation, Seq: k.seq}
	if l.phase != awaitingExpiry && l.phase != writing && k.receivedSeq > 0 {
		b.Echo = k.receivedSeq
		l.confirmedAt = now
	}
	l.callbacks.send(to, encode(b))
}

func validOrder(order []memberRef) bool {
	for _, p := range order {
		if p.ID == "" {
			return false
		}
	}
	return len(order) > 0
}
