package divide

// deficitWeight is the weight of the deficit of the whole group beside that of a root and
// team. It evens out the admitted requests of an entry, most of whose teams send it few
// requests each. At a weight below 1, each root and team still gets its own fraction.
const deficitWeight = 0.5

// turn evens out which requests of a root and team are admitted.
type turn struct {
	// deficit is the sum of the admitted fractions of the requests so far, less the number of
	// those that were admitted. It starts at random: else every root and team would have
	// its first request admitted, or none.
	deficit    float64
	lastMillis int64
}

// takeTurn reports whether to admit a request, so that this fraction of those of its root
// and team is admitted, evenly spread, and admitted requests of the whole group come evenly
// too. It diffuses the error of each decision to the next requests.
func (d *Divide) takeTurn(q request, s *group, fraction float64) bool {
	t, ok := d.turns[q]
	if !ok {
		t = &turn{deficit: d.random.Float64() - 0.5}
		d.turns[q] = t
	}
	t.lastMillis = d.clock.Now()
	t.deficit += fraction
	s.deficit += fraction
	if t.deficit+deficitWeight*s.deficit < 0.5 {
		return false
	}
	t.deficit--
	s.deficit--
	return true
}
