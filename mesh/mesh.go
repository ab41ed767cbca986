// Package mesh exchanges the status cards of the nodes as datagrams.
//
// In its own data centre a node sends its card to all others, or in a larger one to a
// few random ones, with recent cards of other nodes: first those that were relayed
// least, so that each card spreads like a rumour. To another data centre it sends its
// card to one random node, from which it spreads there; few cards of others go along, so
// that all data centres meet. So traffic between data centres grows with the number of
// nodes, and not with its square. A lost datagram does no harm, as the next card replaces
// it. A silent peer isn't confirmed dead; instance selection only avoids it.
package mesh

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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
	// A card goes to all peers in the node's own data centre if there are at most
	// maxDirectPeers, and else to localFanout random ones.
	maxDirectPeers = 10
	localFanout    = 6
	// spreadCopies is the number of copies of a card for each node of a data centre. One
	// node in twenty gets none of them.
	spreadCopies = 3
	// busyRelayedCards and idleRelayedCards bound how many cards of others are sent
	// along. Nodes with work send three times as often, so they need fewer.
	busyRelayedCards = 22
	idleRelayedCards = 48
	// The card of a node with work goes to one node of each other data centre in every
	// round, or in every second one and so on, so that all of these together get at most
	// maxIncomingCards cards in a round: more would spread too slowly there. The cards of
	// limited targets, and of nodes without work, whose rounds are longer, go in each.
	maxIncomingCards = 40
	// A peer is new for newMillis. maxIntroduced bounds the cards of new peers that are
	// sent along to other data centres.
	newMillis       = 3000
	maxIntroduced   = 8
	introduceRounds = 4
	// A change is sent at once to up to maxBroadcastPeers peers of the node's own data
	// centre, and to remoteBroadcastPeers of each other one: a card may have some
	// kilobytes, so more would be a burst of traffic.
	maxBroadcastPeers    = 64
	remoteBroadcastPeers = 3
	// silentMillis is after how long without a new card a peer counts as silent.
	// Silent peers are only probed.
	silentMillis = 1500
	// probeIntervalMillis is the time between two rounds of cards to maxProbes random
	// silent peers.
	probeIntervalMillis = 1000
	maxProbes           = 4
	// forgetMillis is after how long without a new card a peer is forgotten.
	forgetMillis     = 600_000
	maxDatagramBytes = 64 << 10
	// maxMessageBytes bounds a message. Beyond it cards of others are left out.
	maxMessageBytes = 24 << 10
	// sendLogMillis is the min time between two log lines of messages that couldn't be
	// sent.
	sendLogMillis = 1000
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
	// own returns the node's card without its identity, for peers in its own data centre
	// or in others; the mutex may be held, so it must not call the mesh. busy reports
	// whether the node has work, or news for its peers.
	own  func(toRemote bool) card.Card
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
	// sendLoggedAt is when a message that couldn't be sent was last logged.
	sendLoggedAt atomic.Int64
	// rounds counts the rounds. It begins with a random number, so that nodes that start
	// together send to other data centres in different rounds.
	rounds int
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

// message is one message to some peers. The first card is the node's own.
type message struct {
	to    []recipient
	cards []card.Card
}

type peer struct {
	// knownMillis is when the first card of its incarnation came. isNews says that the
	// peer, which is new and in another data centre, has just sent its card to this node.
	knownMillis int64
	isNews      bool
	address     netip.AddrPort
	card        card.Card
	// hasCard is false until the first card of the peer is received.
	hasCard bool
	// lastSeenMillis is when the last new card was received, or else when the peer
	// was added.
	lastSeenMillis int64
	silent         bool
	// sent counts how often this node has sent the card along.
	sent int
}

// New returns a mesh that listens on the address of self, and sends once Run is
// called. It fails if the address is invalid or can't be listened on.
func New(self card.Card, c clock.Clock, seed uint64, log *slog.Logger, own func(toRemote bool) card.Card, busy func() bool, onCard, onOwn func(card.Card), onForget func(string)) (*Mesh, error) {
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
		rounds:   int(seed % maxIncomingCards),
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
		busy := m.busy()
		m.send(m.round(m.own(false), busy))
		// A node that gets work meanwhile doesn't wait for its idle interval to end.
		for waited := 0; ctx.Err() == nil && (waited == 0 || waited < idleIntervalMillis && !m.busy()); waited += busyIntervalMillis {
			pause.For(ctx, busyIntervalMillis*time.Millisecond)
		}
	}
	// The last card tells the peers that the node stops.
	m.Broadcast()
	_ = m.socket.Close()
}

// Broadcast sends the node's card at once to its data centre, and to some nodes of each
// other one.
func (m *Mesh) Broadcast() {
	m.send(m.broadcast(m.own(false)))
}

func (m *Mesh) send(messages []message) {
	for _, g := range messages {
		encoded, err := encode(g.cards)
		if err != nil {
			m.log.Error("mesh: encoding a card failed", "Error", err.Error())
			continue
		}
		for _, r := range g.to {
			m.write(encoded, r.address)
		}
		m.countSent(g.to, len(encoded))
	}
}

// encode encodes as many of the cards as fit into a message, at least the first one.
func encode(cards []card.Card) ([]byte, error) {
	for {
		encoded, err := card.Encode(cards)
		if err != nil || len(encoded) <= maxMessageBytes || len(cards) == 1 {
			return encoded, err
		}
		// Cards have about the same length.
		cards = cards[:max(len(cards)*maxMessageBytes/len(encoded), 1)]
	}
}

// write sends a message. One that fails is like a lost datagram, as the next one
// replaces it.
func (m *Mesh) write(encoded []byte, to netip.AddrPort) {
	_, err := m.socket.WriteToUDPAddrPort(encoded, to)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return
	}
	now := m.clock.Now()
	if last := m.sendLoggedAt.Load(); now-last >= sendLogMillis && m.sendLoggedAt.CompareAndSwap(last, now) {
		m.log.Warn("mesh: sending a message failed", "Peer", to.String(), "Bytes", len(encoded), "Error", err.Error())
	}
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

// round returns the messages of one round: to the node's own data centre, to others
// if a digest is due there, and to peers that are silent.
func (m *Mesh) round(own card.Card, busy bool) []message {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	own = m.identify(own)
	probes, live := m.checkPeers(now)
	local, remote := m.byCentre(live)
	messages := []message{{to: unheard(probes), cards: []card.Card{own}}}

	relayed := idleRelayedCards
	if busy {
		relayed = busyRelayedCards
	}
	to := local
	if len(to) > maxDirectPeers {
		to = m.sample(to, localFanout)
	}
	messages = append(messages, message{recipients(to, toCentre), m.withinBounds(own, m.toRelay(live, len(local), relayed))})

	m.rounds++
	everyRounds := (len(live) - len(local) + maxIncomingCards - 1) / maxIncomingCards
	if !busy || own.Limited() || m.rounds%max(everyRounds, 1) == 0 {
		own = m.identify(m.own(true))
		cards := append([]card.Card{own}, m.introduce(remote)...)
		for _, peers := range remote {
			messages = append(messages, message{recipients(m.sample(peers, 1), toRemote), cards})
		}
	}
	return messages
}

// introduce returns the cards that go along with the node's own one to other data centres:
// those that new peers there have just sent to this node, and in one round of
// introduceRounds that of a random one. Else nodes that have started together, and have
// found only those of a third data centre, wouldn't learn of each other.
func (m *Mesh) introduce(remote map[string][]*peer) []card.Card {
	var cards []card.Card
	add := func(p *peer) {
		c := p.card.Relayed()
		// Who gets it doesn't introduce it again.
		c.Relays = 1
		cards = append(cards, c)
		p.isNews = false
	}
	var others []*peer
	for _, peers := range remote {
		for _, p := range peers {
			if p.isNews && len(cards) < maxIntroduced {
				add(p)
			}
		}
		others = append(others, peers...)
	}
	if len(others) > 0 && m.random.IntN(introduceRounds) == 0 {
		add(others[m.random.IntN(len(others))])
	}
	return cards
}

// broadcast returns the messages that tell of a change.
func (m *Mesh) broadcast(own card.Card) []message {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	own = m.identify(own)
	probes, live := m.checkPeers(m.clock.Now())
	local, remote := m.byCentre(live)
	g := message{append(unheard(probes), recipients(m.sample(local, maxBroadcastPeers), toCentre)...), []card.Card{own}}
	for _, peers := range remote {
		g.to = append(g.to, recipients(m.sample(peers, remoteBroadcastPeers), toRemote)...)
	}
	return []message{g}
}

// identify returns the card with the node's identity and the next sequence number. The
// mutex must be held.
func (m *Mesh) identify(own card.Card) card.Card {
	m.self.Sequence++
	own.Peers, own.Incarnation, own.Sequence = m.self.Peers, m.self.Incarnation, m.self.Sequence
	own.Centre, own.Hops = m.self.Centre, m.self.Hops
	return own
}

// byCentre divides peers into those of the node's own data centre, and those of each
// other one.
func (m *Mesh) byCentre(live []*peer) (local []*peer, remote map[string][]*peer) {
	remote = make(map[string][]*peer)
	for _, p := range live {
		if p.card.Centre == m.self.Centre {
			local = append(local, p)
		} else {
			remote[p.card.Centre] = append(remote[p.card.Centre], p)
		}
	}
	return local, remote
}

// sample returns up to count of the peers at random. It reorders the slice.
func (m *Mesh) sample(peers []*peer, count int) []*peer {
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// toRelay returns up to count peers whose cards are to be sent along, and counts them
// as sent: those that this node hasn't sent along since they came, and that haven't
// spread in the data centre yet. Those that have spread least come first, those of
// limited targets one hop earlier than others, as entries need their thresholds soon.
// One more is chosen at random, so that nodes which have just started learn of all
// others.
func (m *Mesh) toRelay(live []*peer, localCount, count int) []*peer {
	var chosen []*peer
	for _, p := range live {
		if p.sent > 0 {
			continue
		}
		if m.random.Float64() < m.relayFraction(p, localCount) {
			chosen = append(chosen, p)
		} else {
			p.sent++
		}
	}
	m.random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	urgency := func(p *peer) int {
		if p.card.Limited() {
			return m.hops(p) - 1
		}
		return m.hops(p)
	}
	slices.SortStableFunc(chosen, func(a, b *peer) int { return cmp.Compare(urgency(a), urgency(b)) })
	chosen = chosen[:min(count, len(chosen))]
	for _, p := range chosen {
		p.sent++
	}
	if len(live) > 0 {
		chosen = append(chosen, live[m.random.IntN(len(live))])
	}
	return chosen
}

// hops returns by how many nodes of this data centre the card of a peer was sent on its
// way here. Cards from other data centres begin here with one node.
func (m *Mesh) hops(p *peer) int {
	if p.card.Centre == m.self.Centre {
		return p.card.Relays + 1
	}
	return p.card.Relays
}

// relayFraction returns the fraction of the nodes with this card of a peer that are to
// send it on in this data centre, which has localCount others: all of them, until the
// copies suffice for all nodes. Copies go to random nodes, so one for each isn't enough.
func (m *Mesh) relayFraction(p *peer, localCount int) float64 {
	if localCount <= maxDirectPeers {
		if m.hops(p) > 0 {
			return 0
		}
		return 1
	}
	holders, copies := 1, 0
	for range m.hops(p) {
		holders *= localFanout
		copies += holders
	}
	return float64(spreadCopies*localCount-copies) / float64(holders*localFanout)
}

// withinBounds returns the node's own card with those of peers, without facts beyond
// maxRelayedFactBytes.
func (m *Mesh) withinBounds(own card.Card, along []*peer) []card.Card {
	cards := append(make([]card.Card, 0, len(along)+1), own)
	factBytes := 0
	for _, p := range along {
		c := p.card.Relayed()
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

func recipients(peers []*peer, w way) []recipient {
	to := make([]recipient, 0, len(peers))
	for _, p := range peers {
		to = append(to, recipient{p.address, w})
	}
	return to
}

func unheard(probes []netip.AddrPort) []recipient {
	to := make([]recipient, 0, len(probes))
	for _, address := range probes {
		to = append(to, recipient{address, toSilent})
	}
	return to
}

// checkPeers returns the peers that aren't silent, and the addresses of others to
// probe: those that may just have started, and once in probeIntervalMillis some of the
// silent ones. It forgets peers that were silent for too long.
func (m *Mesh) checkPeers(now int64) (probes []netip.AddrPort, live []*peer) {
	var silentPeers []*peer
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
		case silent:
			silentPeers = append(silentPeers, p)
		case p.hasCard:
			live = append(live, p)
		default:
			probes = append(probes, p.address)
		}
	}
	if now-m.probedAt >= probeIntervalMillis {
		m.probedAt = now
		for _, p := range m.sample(silentPeers, maxProbes) {
			probes = append(probes, p.address)
		}
	}
	return probes, live
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
	m.write(encoded, to)
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
		p.knownMillis = m.clock.Now()
	}
	p.isNews = c.Relays == 0 && c.Centre != m.self.Centre && m.clock.Since(p.knownMillis) < newMillis
	p.card, p.hasCard, p.lastSeenMillis = c, true, m.clock.Now()
	p.sent = 0
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
