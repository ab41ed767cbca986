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

// heartbeat is a message between two nodes: a heartbeat if Seq is above 0, the
// current row if it has an Order, otherwise a request for a newer row. Echo is the
// Seq of the heartbeat that it confirms, 0 for none.
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
	var h heartbeat
	if err := cbor.Unmarshal(body, &h); err != nil || h.Version < 0 {
		return false
	}
	now := l.clock.Now()
	if h.Version > l.version && validOrder(h.Order) {
		l.applyRow(h.Version, h.Order, now)
	}
	if h.Version < l.version {
		l.SendRow(from)
		return true
	}
	if h.Version > l.version {
		l.RequestRow(from)
		return true
	}
	if h.Seq > 0 {
		l.handleHeartbeat(from, h, now)
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
func (l *Lease) handleHeartbeat(from string, h heartbeat, now int64) {
	peer := l.peers[from]
	if peer == nil || l.memberWithID(from).Incarnation != h.Incarnation {
		return
	}
	isNew := h.Seq > peer.receivedSeq
	if isNew {
		peer.receivedSeq, peer.lastSeenMillis = h.Seq, now
	}
	if sent := peer.sentTime(h.Echo); sent > 0 {
		peer.leaseEndMillis = max(peer.leaseEndMillis, sent+leaseMillis)
	}
	// The first heartbeat of a term is confirmed at once, as the head can't act before.
	// One that confirms nothing may come from a member that got none of this node's
	// yet, so it's replied to as well.
	if isNew && (!peer.isConfirmed || h.Echo == 0 && now-peer.heartbeatAt >= minHeartbeatMillis) {
		l.sendHeartbeat(from, peer, now)
	}
}

// sentTime returns when the heartbeat with this number was sent, or 0 if that
// isn't recorded any more.
func (s *peerState) sentTime(seq int64) int64 {
	if seq <= s.seq-heartbeatHistory || seq > s.seq {
		return 0
	}
	return s.sentAt[seq%heartbeatHistory]
}

func (l *Lease) sendHeartbeats(now int64) {
	for _, p := range l.order {
		peer := l.peers[p.ID]
		if peer != nil && !l.isDead(p) && now-peer.heartbeatAt >= heartbeatMillis {
			l.sendHeartbeat(p.ID, peer, now)
		}
	}
}

// sendHeartbeat sends a heartbeat to another member. It confirms the term,
// unless this node is about to write the next one.
func (l *Lease) sendHeartbeat(to string, peer *peerState, now int64) {
	peer.seq++
	peer.sentAt[peer.seq%heartbeatHistory] = now
	peer.heartbeatAt = now
	h := heartbeat{Version: l.version, Incarnation: l.self.Incarnation, Seq: peer.seq}
	if l.phase != awaitingExpiry && l.phase != writing && peer.receivedSeq > 0 {
		h.Echo = peer.receivedSeq
		peer.isConfirmed = true
		l.confirmedAt = now
	}
	l.callbacks.send(to, encode(h))
}

func validOrder(order []memberRef) bool {
	for _, p := range order {
		if p.ID == "" {
			return false
		}
	}
	return len(order) > 0
}
