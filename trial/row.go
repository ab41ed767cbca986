package trial

// rowLimiter keeps the shares of each team in one row of the table. Once a second
// and in one conditional write for each team, a node returns what it doesn't need
// to the free fraction in the row, or takes what it needs from there. Without an
// outage these writes always succeed. The share of
// a dead node is written back when the node is confirmed dead. Here that happens at
// once, which favours this limiter in the comparison.
type rowLimiter struct {
	world            *world
	shares           [nodes][]*share
	freeFractions    []float64
	tableUnavailable bool
}

func newRowLimiter(w *world) *rowLimiter {
	return &rowLimiter{world: w, shares: newShares(w.now), freeFractions: make([]float64, len(teams()))}
}

func (r *rowLimiter) request(node, team int, done func(bool)) {
	done(r.shares[node][team].admit(r.world.now))
}

func (r *rowLimiter) tick(node int) {
	// The nodes' updates are spread over the interval.
	if (r.world.now+int64(node*shareIntervalMillis/nodes))%shareIntervalMillis >= tickMillis {
		return
	}
	for i, s := range r.shares[node] {
		s.updateNeed()
		r.rebalance(i, s)
	}
}

// rebalance returns or takes a fraction of the rate with one write, if the table is
// available.
func (r *rowLimiter) rebalance(i int, s *share) {
	spare, lack := s.spare(), s.lack()
	r.world.reads++
	if r.tableUnavailable || spare < minFraction && (lack < minFraction || r.freeFractions[i] < minFraction) {
		return
	}
	r.world.writes++
	if spare >= minFraction {
		// The tokens of a share that is returned are lost.
		fraction, _ := s.remove(spare, r.world.now)
		r.world.after(tableMillis, func() { r.freeFractions[i] += fraction })
		return
	}
	fraction := min(lack, r.freeFractions[i])
	r.freeFractions[i] -= fraction
	r.world.after(tableMillis, func() { s.add(fraction, 0, r.world.now) })
}

func (r *rowLimiter) handleNodeDeath(node int) {
	if r.tableUnavailable {
		return
	}
	for i, s := range r.shares[node] {
		r.world.writes++
		fraction, _ := s.remove(1, r.world.now)
		r.freeFractions[i] += fraction
	}
}

func (r *rowLimiter) failTable() { r.tableUnavailable = true }
