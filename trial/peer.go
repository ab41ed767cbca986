package trial

// peerLimiter has nodes pass shares to each other. A node that needs a larger share
// asks two random others every 50 ms until it has enough. They pass on what they
// don't need. The share of a dead node is lost, as no node knows how much it held.
type peerLimiter struct {
	world           *world
	shares          [nodes][]*share
	lastAskedMillis [nodes][]int64
}

const (
	// askIntervalMillis is the minimum time between two rounds of asking.
	askIntervalMillis = 50
	// peersPerRound is how many nodes are asked in a round.
	peersPerRound = 2
)

func newPeerLimiter(w *world) *peerLimiter {
	p := &peerLimiter{world: w, shares: newShares(w.now)}
	for i := range p.lastAskedMillis {
		p.lastAskedMillis[i] = make([]int64, len(teams()))
	}
	return p
}

func (p *peerLimiter) request(node, team int, done func(bool)) {
	s := p.shares[node][team]
	granted := s.admit(p.world.now)
	done(granted)
	if !granted {
		p.ask(node, team, max(s.lack(), s.fraction/2, minFraction))
	}
}

func (p *peerLimiter) tick(node int) {
	if (p.world.now+int64(node*shareIntervalMillis/nodes))%shareIntervalMillis < tickMillis {
		for _, s := range p.shares[node] {
			s.updateNeed()
		}
	}
	for i, s := range p.shares[node] {
		if lack := s.lack(); lack >= minFraction {
			p.ask(node, i, lack)
		}
	}
}

// ask asks other nodes for a share of a team's rate.
func (p *peerLimiter) ask(node, team int, lack float64) {
	if p.world.now-p.lastAskedMillis[node][team] < askIntervalMillis {
		return
	}
	p.lastAskedMillis[node][team] = p.world.now
	for range peersPerRound {
		other := (node + 1 + p.world.random.IntN(nodes-1)) % nodes
		p.world.deliver(shareMessageBytes, func() { p.passShare(other, node, team, lack) })
	}
}

func (p *peerLimiter) passShare(from, to, team int, lack float64) {
	s := p.shares[from][team]
	if !p.world.alive[from] || s.spare() < minFraction {
		return
	}
	fraction, tokens := s.remove(min(lack, s.spare()), p.world.now)
	p.world.deliver(shareMessageBytes, func() { p.shares[to][team].add(fraction, tokens, p.world.now) })
}

// handleNodeDeath does nothing: the share of the dead node is lost.
func (p *peerLimiter) handleNodeDeath(int) {}

// failTable does nothing: this limiter doesn't use the table.
func (p *peerLimiter) failTable() {}
