// Package mesh spreads the nodes' cards among them as datagrams.
//
// Each node sends its card to all others, or in a large fleet to a few random
// ones together with cards of others that it has just heard of, some of them of
// targets that can't take all requests. A change goes to all at once. A lost
// datagram does no harm: the next card says the same and more. Silence proves
// nothing; those who choose an instance only avoid the silent ones.
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
	// busyMillis and restMillis are the times between two cards.
	busyMillis = 100
	restMillis = 300
	// direct is how many peers all get each card; in a larger fleet a card goes
	// to fanout random peers, together with cards of others.
	direct = 20
	fanout = 8
	// farFanout of them are in other data centres, to which bytes are dear.
	farFanout = 3
	// busyRelayed and restRelayed are how many cards of others go along. Nodes
	// with work send three times as often.
	busyRelayed = 6
	restRelayed = 16
	// limitedPart is the divisor of that for the least part of limited targets.
	limitedPart = 3
	// newsMillis is how old a card of another node is that goes along before
	// older ones, which most nodes have heard by then.
	newsMillis = 300
	// mostTold is to how many peers a change goes at once: a card may have some
	// kilobytes.
	mostTold = 128
	// silentMillis is after how long a peer counts as silent; it's asked only
	// now and then from then on.
	silentMillis = 1500
	// probeMillis is the time between two cards to silent peers.
	probeMillis = 1000
	// forgetMillis is after how long a silent peer is forgotten.
	forgetMillis = 600_000
	datagram     = 64 << 10
)

// Mesh is one node's part in the spreading of cards.
type Mesh struct {
	clock  clock.Clock
	log    *slog.Logger
	socket *net.UDPConn
	random *rand.Rand
	// own returns the node's card but for its identity, busy whether the node
	// has work.
	own  func() card.Card
	busy func() bool
	// onCard takes each newer card of a peer, onGone peers that are forgotten.
	onCard func(card.Card)
	onGone func(peer string)

	mutex    sync.Mutex
	self     card.Card
	peers    map[string]*peer
	probedAt int64
}

type peer struct {
	address netip.AddrPort
	card    card.Card
	known   bool
	heardAt int64
	silent  bool
}

// New returns a mesh that listens on the address of self, and sends once Run
// is called.
func New(self card.Card, c clock.Clock, seed uint64, log *slog.Logger, own func() card.Card, busy func() bool, onCard func(card.Card), onGone func(string)) (*Mesh, error) {
	address, err := net.ResolveUDPAddr("udp", self.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "mesh")
	}
	return &Mesh{
		clock:  c,
		log:    log,
		socket: socket,
		random: rand.New(rand.NewPCG(seed, seed+3)),
		own:    own,
		busy:   busy,
		onCard: onCard,
		onGone: onGone,
		self:   self,
		peers:  make(map[string]*peer),
	}, nil
}

// Add makes a peer known by its address, until it's heard or forgotten.
func (m *Mesh) Add(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		m.log.Warn("mesh: bad address of a peer", "Address", address)
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, ok := m.peers[address]; !ok && address != m.self.Peers {
		m.peers[address] = &peer{address: parsed, heardAt: m.clock.Now()}
	}
}

// Run sends and receives cards until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive()
	for ctx.Err() == nil {
		rest, relayed := restMillis, restRelayed
		if m.busy() {
			rest, relayed = busyMillis, busyRelayed
		}
		m.send(fanout, relayed)
		pause.For(ctx, time.Duration(rest)*time.Millisecond)
	}
	// The last card says that the node stops.
	m.Broadcast()
	_ = m.socket.Close()
}

// Broadcast tells all peers the node's state at once.
func (m *Mesh) Broadcast() {
	m.send(mostTold, 0)
}

// send sends the own card, with up to so many of others, to up to so many peers
// of a large fleet.
func (m *Mesh) send(peers, relayed int) {
	to, cards := m.message(m.own(), peers, relayed)
	text, err := card.Encode(cards)
	if err != nil {
		m.log.Error("mesh: a card can't be written", "Error", err.Error())
		return
	}
	for _, address := range to {
		// A datagram that isn't sent is like one that's lost.
		_, _ = m.socket.WriteToUDPAddrPort(text, address)
	}
}

// message returns who gets the next message, and the cards in it.
func (m *Mesh) message(own card.Card, peers, relayed int) ([]netip.AddrPort, []card.Card) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.Sequence++
	own.Peers, own.Incarnation, own.Sequence = m.self.Peers, m.self.Incarnation, m.self.Sequence
	own.Centre, own.Hops = m.self.Centre, m.self.Hops
	now := m.clock.Now()
	to, heard := m.look(now)
	cards := []card.Card{own}
	if len(heard) > direct {
		m.random.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
		cards = append(cards, relay(heard, relayed, now)...)
		heard = m.spread(heard, peers)
	}
	for _, p := range heard {
		to = append(to, p.address)
	}
	return to, cards
}

// spread returns up to so many of the peers, few of them in other data centres
// unless there are few in the own one.
func (m *Mesh) spread(heard []*peer, count int) []*peer {
	if count >= len(heard) {
		return heard
	}
	var near, far []*peer
	for _, p := range heard {
		if p.card.Centre == m.self.Centre {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	nears := min(len(near), max(count-farFanout, count-len(far)))
	return slices.Concat(near[:nears], far[:min(count-nears, len(far))])
}

// look returns the peers that aren't silent, and the addresses of those that
// should be asked whether they're there. It forgets those that are gone.
func (m *Mesh) look(now int64) (ask []netip.AddrPort, heard []*peer) {
	probe := now-m.probedAt >= probeMillis
	if probe {
		m.probedAt = now
	}
	for id, p := range m.peers {
		silent := now-p.heardAt > silentMillis
		switch {
		case now-p.heardAt > forgetMillis:
			delete(m.peers, id)
			m.onGone(id)
			continue
		case silent && !p.silent && p.known:
			m.log.Warn("mesh: peer is silent", "Peer", id, "SinceMillis", now-p.heardAt)
		}
		p.silent = silent
		switch {
		case p.known && !silent:
			heard = append(heard, p)
		case probe || !p.known && !silent:
			ask = append(ask, p.address)
		}
	}
	return ask, heard
}

// relay returns the cards of up to so many peers, news first. A third of them or
// more are of limited targets, as entries wait for these.
func relay(heard []*peer, count int, now int64) []card.Card {
	var limited, news, older []*peer
	for _, p := range heard {
		switch {
		case now-p.heardAt > newsMillis:
			older = append(older, p)
		case p.card.Limited():
			limited = append(limited, p)
		default:
			news = append(news, p)
		}
	}
	fair := count * len(limited) / max(len(limited)+len(news), 1)
	part := min(max(count/limitedPart, fair), len(limited))
	all := slices.Concat(limited[:part], news, older)
	var cards []card.Card
	for _, p := range all[:min(count, len(all))] {
		cards = append(cards, p.card)
	}
	return cards
}

func (m *Mesh) receive() {
	buffer := make([]byte, datagram)
	for {
		n, _, err := m.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Such as an earlier datagram to a port where nobody listens.
			continue
		}
		cards, err := card.Decode(buffer[:n])
		if err != nil {
			m.log.Warn("mesh: a message can't be read", "Error", err.Error())
			continue
		}
		for _, c := range cards {
			if m.take(c) {
				m.onCard(c)
			} else {
				m.remind(c)
			}
		}
	}
}

// remind sends a node its own card of a later start, if that's known: a node
// that starts again after its wall clock was put back takes a lower
// incarnation, and nobody would listen to it.
func (m *Mesh) remind(c card.Card) {
	m.mutex.Lock()
	p, ok := m.peers[c.Peers]
	if !ok || !p.known || c.Incarnation >= p.card.Incarnation {
		m.mutex.Unlock()
		return
	}
	known, to := p.card, p.address
	m.mutex.Unlock()
	text, err := card.Encode([]card.Card{known})
	if err != nil {
		m.log.Error("mesh: a card can't be written", "Error", err.Error())
		return
	}
	// If it gets lost, the next old card is answered so too.
	_, _ = m.socket.WriteToUDPAddrPort(text, to)
}

// take tells whether the card is news of a peer.
func (m *Mesh) take(c card.Card) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if c.Peers == m.self.Peers {
		// A peer remembers a start of this node with a later wall clock.
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
	if p.known && !c.Newer(p.card) {
		return false
	}
	if !p.known || p.card.Incarnation != c.Incarnation {
		m.log.Info("mesh: peer is known", "Peer", c.Peers, "Incarnation", c.Incarnation, "Service", c.Service, "Target", c.Target)
	}
	p.card, p.known, p.heardAt = c, true, m.clock.Now()
	return true
}

// PeerCounts returns how many peers are known, and of how many there's news.
func (m *Mesh) PeerCounts() (known, heard int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	for _, p := range m.peers {
		if p.known && now-p.heardAt <= silentMillis {
			heard++
		}
	}
	return len(m.peers), heard
}

// Cards returns the newest cards of all peers that aren't silent.
func (m *Mesh) Cards() []card.Card {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	var all []card.Card
	for _, p := range m.peers {
		if p.known && now-p.heardAt <= silentMillis {
			all = append(all, p.card)
		}
	}
	return all
}
