// Package mesh exchanges the status cards of the nodes as datagrams.
//
// In a fleet of up to maxDirectPeers peers, each node sends its card to all
// others. In a larger one it sends it to a few random peers and relays recent
// cards of other nodes with it, with preference for those of targets that can't
// run all requests. A change is sent to all at once. A lost datagram does no
// harm, as the next card replaces it. A silent peer isn't confirmed dead;
// instance selection only avoids it.
package mesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/pause"
)

const (
	// busyIntervalMillis and idleIntervalMillis are the times between two cards
	// of a node with and without work.
	busyIntervalMillis = 100
	idleIntervalMillis = 300
	// With up to maxDirectPeers peers, each card is sent to all of them. In a
	// larger fleet it's sent to fanout random peers, with cards of others.
	maxDirectPeers = 20
	fanout         = 8
	// remoteFanout is the maximum of these that are in other data centres, unless
	// the node's own has too few peers. Traffic between data centres is expensive.
	remoteFanout = 3
	// busyRelayedCards and idleRelayedCards are how many cards of others are sent
	// along. Nodes with work send three times as often, so they need fewer.
	busyRelayedCards = 6
	idleRelayedCards = 16
	// At least 1/limitedDivisor of the relayed cards are of limited targets, as
	// long as there are enough recent ones.
	limitedDivisor = 3
	// Cards of others that are at most recentMillis old are relayed first. Most
	// nodes have received older ones already.
	recentMillis = 300
	// maxBroadcastPeers bounds to how many peers a change is sent at once: a card
	// may have some kilobytes, so more would be a burst of traffic.
	maxBroadcastPeers = 128
	// silentMillis is after how long without a new card a peer counts as silent.
	// Silent peers are only probed.
	silentMillis = 1500
	// probeIntervalMillis is the time between two cards to silent peers.
	probeIntervalMillis = 1000
	// forgetMillis is after how long without a new card a peer is forgotten.
	forgetMillis     = 600_000
	maxDatagramBytes = 64 << 10
	// maxRelayedFactBytes bounds the facts on the relayed cards of one message: more
	// might make it too long to be sent at all.
	maxRelayedFactBytes = 16 << 10
)

// Mesh exchanges the cards of one node with those of its peers. It's safe for
// concurrent use.
type Mesh struct {
	clock  clock.Clock
	log    *slog.Logger
	socket *net.UDPConn
	random *rand.Rand
	// own returns the node's card without its identity. busy reports whether
	// the node has work.
	own  func() card.Card
	busy func() bool
	// onCard is called with each newer card of a peer, onOwn with cards of earlier
	// incarnations of this node, which peers have kept. onForget is called with
	// each peer that is forgotten; the mutex is held, so it must not call the
	// mesh.
	onCard   func(card.Card)
	onOwn    func(card.Card)
	onForget func(peer string)

	mutex    sync.Mutex
	self     card.Card
	peers    map[string]*peer
	probedAt int64
	// sentBytes counts the bytes of the messages that were sent, by way.
	sentBytes [wayCount]int64
}

// way says where a message goes.
type way int

const (
	// toCentre is to a peer in the node's own data centre, toRemote to one in another.
	toCentre way = iota
	toRemote
	// toSilent is to a peer that is silent or wasn't heard yet.
	toSilent
	wayCount
)

type recipient struct {
	address netip.AddrPort
	way     way
}

type peer struct {
	address netip.AddrPort
	card    card.Card
	// hasCard is false until the first card of the peer is received.
	hasCard bool
	// lastSeenMillis is when the last new card was received, or else when the peer
	// was added.
	lastSeenMillis int64
	silent         bool
}

// New returns a mesh that listens on the address of self, and sends once Run is
// called. It fails if the address is invalid or can't be listened on.
func New(self card.Card, c clock.Clock, seed uint64, log *slog.Logger, own func() card.Card, busy func() bool, onCard, onOwn func(card.Card), onForget func(string)) (*Mesh, error) {
	address, err := net.ResolveUDPAddr("udp", self.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	return &Mesh{
		clock:    c,
		log:      log,
		socket:   socket,
		random:   rand.New(rand.NewPCG(seed, seed+3)),
		own:      own,
		busy:     busy,
		onCard:   onCard,
		onOwn:    onOwn,
		onForget: onForget,
		self:     self,
		peers:    make(map[string]*peer),
	}, nil
}

// Add adds a peer by its address. It's kept until it's forgotten for silence.
func (m *Mesh) Add(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		m.log.Warn("mesh: invalid peer address", "Address", address)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, ok := m.peers[address]; !ok && address != m.self.Peers {
		m.peers[address] = &peer{address: parsed, lastSeenMillis: m.clock.Now()}
	}
}

// Run sends and receives cards until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive()
	for ctx.Err() == nil {
		intervalMillis, relayed := idleIntervalMillis, idleRelayedCards
		if m.busy() {
			intervalMillis, relayed = busyIntervalMillis, busyRelayedCards
		}
		m.send(fanout, relayed)
		pause.For(ctx, time.Duration(intervalMillis)*time.Millisecond)
	}
	// The last card tells the peers that the node stops.
	m.Broadcast()
	_ = m.socket.Close()
}

// Broadcast sends the node's card to all peers at once, or to maxBroadcastPeers
// of them if there are more.
func (m *Mesh) Broadcast() {
	m.send(maxBroadcastPeers, 0)
}

// send sends the node's card to all peers that aren't silent. With more than
// maxDirectPeers of these, it's sent to up to maxPeers random ones, with up to
// maxRelayed cards of others.
func (m *Mesh) send(maxPeers, maxRelayed int) {
	to, cards := m.message(m.own(), maxPeers, maxRelayed)
	encoded, err := card.Encode(cards)
	if err != nil {
		m.log.Error("mesh: encoding a card failed", "Error", err.Error())
		return
	}
	for _, r := range to {
		// A failed send is like a lost datagram.
		_, _ = m.socket.WriteToUDPAddrPort(encoded, r.address)
	}
	m.countSent(to, len(encoded))
}

func (m *Mesh) countSent(to []recipient, bytes int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, r := range to {
		m.sentBytes[r.way] += int64(bytes)
	}
}

// SentBytes returns how many bytes of messages were sent since the start, without
// the headers of datagrams: to peers in the node's own data centre, to those in
// others, and to peers that were silent.
func (m *Mesh) SentBytes() (local, remote, silent int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.sentBytes[toCentre], m.sentBytes[toRemote], m.sentBytes[toSilent]
}

// message returns the recipients of the next message, and the cards in it.
func (m *Mesh) message(own card.Card, maxPeers, maxRelayed int) ([]recipient, []card.Card) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.Sequence++
	own.Peers, own.Incarnation, own.Sequence = m.self.Peers, m.self.Incarnation, m.self.Sequence
	own.Centre, own.Hops = m.self.Centre, m.self.Hops
	now := m.clock.Now()
	probes, live := m.checkPeers(now)
	cards := []card.Card{own}
	if len(live) > maxDirectPeers {
		m.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		cards = append(cards, cardsToRelay(live, maxRelayed, now)...)
		live = m.choosePeers(live, maxPeers)
	}
	to := make([]recipient, 0, len(probes)+len(live))
	for _, address := range probes {
		to = append(to, recipient{address, toSilent})
	}
	for _, p := range live {
		if p.card.Centre == m.self.Centre {
			to = append(to, recipient{p.address, toCentre})
		} else {
			to = append(to, recipient{p.address, toRemote})
		}
	}
	return to, cards
}

// choosePeers returns up to count of the peers. At most remoteFanout of them are
// in other data centres, unless there are too few in the node's own.
func (m *Mesh) choosePeers(live []*peer, count int) []*peer {
	if count >= len(live) {
		return live
	}
	var local, remote []*peer
	for _, p := range live {
		if p.card.Centre == m.self.Centre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	localCount := min(len(local), max(count-remoteFanout, count-len(remote)))
	return slices.Concat(local[:localCount], remote[:min(count-localCount, len(remote))])
}

// checkPeers returns the peers that aren't silent, and the addresses of others
// to probe. It forgets peers that were silent for too long.
func (m *Mesh) checkPeers(now int64) (probes []netip.AddrPort, live []*peer) {
	probeDue := now-m.probedAt >= probeIntervalMillis
	if probeDue {
		m.probedAt = now
	}
	for id, p := range m.peers {
		silent := now-p.lastSeenMillis > silentMillis
		switch {
		case now-p.lastSeenMillis > forgetMillis:
			delete(m.peers, id)
			m.onForget(id)
			continue
		case silent && !p.silent && p.hasCard:
			m.log.Warn("mesh: peer is silent", "Peer", id, "SinceMillis", now-p.lastSeenMillis)
		}
		p.silent = silent
		switch {
		case p.hasCard && !silent:
			live = append(live, p)
		case probeDue || !p.hasCard && !silent:
			probes = append(probes, p.address)
		}
	}
	return probes, live
}

// cardsToRelay returns up to count cards of peers, recent ones first. Of the
// recent cards, those of limited targets are relayed in proportion to their
// number, but at least count/limitedDivisor of them, as entries need their
// thresholds soon.
func cardsToRelay(live []*peer, count int, now int64) []card.Card {
	var limited, recent, older []*peer
	for _, p := range live {
		switch {
		case now-p.lastSeenMillis > recentMillis:
			older = append(older, p)
		case p.card.Limited():
			limited = append(limited, p)
		default:
			recent = append(recent, p)
		}
	}
	proportionalCount := count * len(limited) / max(len(limited)+len(recent), 1)
	limitedCount := min(max(count/limitedDivisor, proportionalCount), len(limited))
	all := slices.Concat(limited[:limitedCount], recent, older)
	var cards []card.Card
	factBytes := 0
	for _, p := range all[:min(count, len(all))] {
		c := p.card
		for _, r := range c.Facts {
			factBytes += len(r.Key) + len(r.Value)
		}
		if factBytes > maxRelayedFactBytes {
			c.Facts = nil
		}
		cards = append(cards, c)
	}
	return cards
}

func (m *Mesh) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := m.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example an ICMP error for an earlier datagram to a closed port.
			continue
		}
		cards, err := card.Decode(buffer[:n])
		if err != nil {
			m.log.Warn("mesh: decoding a message failed", "Error", err.Error())
			continue
		}
		for _, c := range cards {
			m.handle(c, from)
		}
	}
}

// handle takes in a card that came from this address.
func (m *Mesh) handle(c card.Card, from netip.AddrPort) {
	if m.isOfOtherIncarnation(c) {
		m.onOwn(c)
	}
	earlier, restarted := m.earlierCard(c, from)
	if !m.accept(c) {
		m.replyWithNewer(c)
		return
	}
	m.onCard(c)
	if restarted {
		m.sendCard(earlier, from)
	}
}

// isOfOtherIncarnation reports whether the card is of another incarnation of this
// node, which is an earlier one, also if its number is higher.
func (m *Mesh) isOfOtherIncarnation(c card.Card) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return c.Peers == m.self.Peers && c.Incarnation != m.self.Incarnation
}

// earlierCard returns the last card of an earlier incarnation of a node, if the card
// came from the node itself and is the first one of its incarnation. The node may
// have forgotten what that card tells.
func (m *Mesh) earlierCard(c card.Card, from netip.AddrPort) (card.Card, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p, ok := m.peers[c.Peers]
	if !ok || !p.hasCard || p.address != from || c.Incarnation <= p.card.Incarnation {
		return card.Card{}, false
	}
	return p.card, true
}

// replyWithNewer sends a node its own card of a higher incarnation, if there is
// one. A node that restarts after its wall clock was set back has a lower
// incarnation than before, and its peers would ignore its cards.
func (m *Mesh) replyWithNewer(c card.Card) {
	m.mutex.Lock()
	p, ok := m.peers[c.Peers]
	if !ok || !p.hasCard || c.Incarnation >= p.card.Incarnation {
		m.mutex.Unlock()
		return
	}
	newer, to := p.card, p.address
	m.mutex.Unlock()
	// If the reply is lost, the node's next card gets another one.
	m.sendCard(newer, to)
}

// sendCard sends one card. A failed send is like a lost datagram.
func (m *Mesh) sendCard(c card.Card, to netip.AddrPort) {
	encoded, err := card.Encode([]card.Card{c})
	if err != nil {
		m.log.Error("mesh: encoding a card failed", "Error", err.Error())
		return
	}
	_, _ = m.socket.WriteToUDPAddrPort(encoded, to)
}

// accept stores the card of a peer if it's newer than the last one, and tells
// whether it is.
func (m *Mesh) accept(c card.Card) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c.Peers == m.self.Peers {
		// A peer has a card of an earlier start of this node, made when its wall
		// clock was ahead of the present one.
		if c.Incarnation > m.self.Incarnation {
			m.self.Incarnation = c.Incarnation + 1
		}
		return false
	}
	p, ok := m.peers[c.Peers]
	if !ok {
		address, err := netip.ParseAddrPort(c.Peers)
		if err != nil {
			return false
		}
		p = &peer{address: address}
		m.peers[c.Peers] = p
	}
	if p.hasCard && !c.Newer(p.card) {
		return false
	}
	if !p.hasCard || p.card.Incarnation != c.Incarnation {
		m.log.Info("mesh: peer is known", "Peer", c.Peers, "Incarnation", c.Incarnation, "Service", c.Service, "Target", c.Target)
	}
	p.card, p.hasCard, p.lastSeenMillis = c, true, m.clock.Now()
	return true
}

// PeerCounts returns how many peers are known, and how many of them aren't
// silent.
func (m *Mesh) PeerCounts() (known, live int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	for _, p := range m.peers {
		if p.hasCard && now-p.lastSeenMillis <= silentMillis {
			live++
		}
	}
	return len(m.peers), live
}

// Cards returns the latest cards of all peers that aren't silent.
func (m *Mesh) Cards() []card.Card {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	var all []card.Card
	for _, p := range m.peers {
		if p.hasCard && now-p.lastSeenMillis <= silentMillis {
			all = append(all, p.card)
		}
	}
	return all
}
