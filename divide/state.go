package divide

import (
	"cmp"
	"slices"
)

// States returns for logs, as arguments of log/slog, what decides on each grade that is
// admitted in part at present: the service, the even fraction, and the teams and roots of
// which the least and the most is admitted. The fractions of roots are those for a team of
// which the even fraction is admitted.
func (d *Divide) States() [][]any {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock.Now()
	var states [][]any
	for k, s := range d.groups {
		if now-s.computedMillis > dividedMillis {
			continue
		}
		roots := make(map[uint32]float64)
		for _, r := range s.roots {
			roots[r.hash] = s.rootFraction(r.hash, s.even)
		}
		args := []any{"Service", k.service, "Grade", k.grade, "Fraction", s.even}
		args = append(args, d.extremes("Team", s.teams)...)
		states = append(states, append(args, d.extremes("Root", roots)...))
	}
	return states
}

// extremes returns the names with the smallest and the largest fraction.
func (d *Divide) extremes(what string, fractions map[uint32]float64) []any {
	type entry struct {
		name     string
		fraction float64
	}
	var all []entry
	for hash, f := range fractions {
		all = append(all, entry{d.names[hash], f})
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.fraction, b.fraction), cmp.Compare(a.name, b.name))
	})
	first, last := all[0], all[len(all)-1]
	return []any{"Min" + what, first.name, "Min" + what + "Fraction", first.fraction, "Max" + what, last.name, "Max" + what + "Fraction", last.fraction}
}
