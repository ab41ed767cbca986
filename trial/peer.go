package trial

// peer is the way in which nodes pass shares to each other. A node that lacks
// asks two others, picked at random, every 50 ms until it has what it needs; they pass on
// what they can do without. Nothing can take the share of a dead node back
// without an account of who held how much, so it's lost.
type peer struct {
	world  *world
	shares [nodes][]*share
	asked  [nodes][]int64
}

const (
	// peerMillis is the least time between two rounds of asks.
	peerMillis = 50
	// peersAsked is how many nodes are asked in a round.
	peersAsked = 2
)

func newPeer(w *world) *peer {
	p := &peer{world: w, shares: newShares(w.now)}
	for i := range p.asked {
		p.asked[i] = make([]int64, len(teams()))
	}
	return p
}

func (p *peer) arrive(node, team int, done func(bool)) {
	s := p.shares[node][team]
	granted := s.take(p.world.now)
	done(granted)
	if !granted {
		p.seek(node, team, max(s.lack(), s.part/2, leastPart))
	}
}

func (p *peer) tick(node int) {
	if (p.world.now+int64(node*shareMillis/nodes))%shareMillis < tickMillis {
		for _, s := range p.shares[node] {
			s.measure()
		}
	}
	for i, s := range p.shares[node] {
		if lack := s.lack(); lack >= leastPart {
			p.seek(node, i, lack)
		}
	}
}

// seek asks other nodes for a part of a team's rate.
func (p *peer) seek(node, team int, lack float64) {
	if p.world.now-p.asked[node][team] < peerMillis {
		return
	}
	p.asked[node][team] = p.world.now
	for range peersAsked {
		other := (node + 1 + p.world.random.IntN(nodes-1)) % nodes
		p.world.deliver(shareBytes, func() { p.pass(other, node, team, lack) })
	}
}

func (p *peer) pass(from, to, team int, lack float64) {
	s := p.shares[from][team]
	if !p.world.alive[from] || s.spare() < leastPart {
		return
	}
	part, level := s.give(min(lack, s.spare()), p.world.now)
	p.world.deliver(shareBytes, func() { p.shares[to][team].add(part, level, p.world.now) })
}

func (p *peer) kill(int) {}

func (p *peer) tableOut() {}
