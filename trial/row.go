package trial

// row is the way that keeps each team's shares in one row of the table. A node
// gives up what it doesn't need into the row's free part, and takes from there
// what it lacks, once a second, in one conditional write for each team. The
// share of a dead node is written back when its death is proven; that it's
// proven at once favours this way.
type row struct {
	world  *world
	shares [nodes][]*share
	free   []float64
	out    bool
}

func newRow(w *world) *row {
	return &row{world: w, shares: newShares(w.now), free: make([]float64, len(teams()))}
}

func (r *row) arrive(node, team int, done func(bool)) {
	done(r.shares[node][team].take(r.world.now))
}

func (r *row) tick(node int) {
	// Nodes look at different moments.
	if (r.world.now+int64(node*shareMillis/nodes))%shareMillis >= tickMillis {
		return
	}
	for i, s := range r.shares[node] {
		s.measure()
		r.balance(i, s)
	}
}

// balance gives up or takes with one write, as the table allows it.
func (r *row) balance(i int, s *share) {
	spare, lack := s.spare(), s.lack()
	r.world.reads++
	if r.out || spare < leastPart && (lack < leastPart || r.free[i] < leastPart) {
		return
	}
	r.world.writes++
	if spare >= leastPart {
		// The tokens in a part that's given up are lost.
		part, _ := s.give(spare, r.world.now)
		r.world.after(tableMillis, func() { r.free[i] += part })
		return
	}
	part := min(lack, r.free[i])
	r.free[i] -= part
	r.world.after(tableMillis, func() { s.add(part, 0, r.world.now) })
}

func (r *row) kill(node int) {
	if r.out {
		return
	}
	for i, s := range r.shares[node] {
		r.world.writes++
		part, _ := s.give(1, r.world.now)
		r.free[i] += part
	}
}

func (r *row) tableOut() { r.out = true }
