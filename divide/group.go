package divide

import (
	"cmp"
	"math"
	"slices"

	"bergamotloom.example/grade"
)

const (
	// minRootFraction is the fraction of its even part that each root keeps.
	minRootFraction = 0.5
	// workBand is the ratio of the work per request of two roots from which the one is
	// admitted before the other. Estimates err by some tenths, and roots that hardly differ
	// would otherwise change places all the time.
	workBand = 2
	// solveSteps halves the range of a solution to far less than a percent.
	solveSteps = 24
)

// groupKey names the requests of one grade that a scarce service admits in part.
type groupKey struct {
	service string
	grade   grade.Grade
}

// group holds what decides on the fractions of the requests of one grade at one service.
type group struct {
	computedMillis int64
	even           float64
	// level is the rate that a team may have, as a fraction of its configured one; teams
	// with less demand have what they ask for. Teams has the known teams, with the fraction
	// of each.
	level float64
	teams map[uint32]float64
	// roots are those with known work per request, in the order of their hashes.
	roots []rootDemand
	// fractions is the cache of fractions by root and team.
	fractions map[request]float64
	// deficit is the sum of the admitted fractions of the requests since the first one, less
	// the number of those that were admitted.
	deficit float64
}

// rootDemand is a root's demand in requests per second, and the logarithm of its work per
// request to the base workBand.
type rootDemand struct {
	hash    uint32
	rate    float64
	work    float64
	logWork float64
}

// group returns the state for a grade at a service. It's computed again once
// cacheMillis have passed.
func (d *Divide) group(service string, g grade.Grade, even float64) *group {
	k := groupKey{service, g}
	s, ok := d.groups[k]
	now := d.clock.Now()
	if ok && now-s.computedMillis < cacheMillis {
		return s
	}
	if !ok {
		s = &group{}
		d.groups[k] = s
	}
	s.computedMillis, s.even = now, even
	s.fractions = make(map[request]float64)
	d.computeTeams(s, g)
	d.computeRoots(s, service, g)
	return s
}

// computeTeams shares the admitted fraction of the demand among teams by max-min fairness,
// weighted by their configured rates.
func (d *Divide) computeTeams(s *group, g grade.Grade) {
	type teamDemand struct {
		hash           uint32
		rate, weight   float64
		relativeDemand float64
	}
	var known []teamDemand
	for hash, weight := range d.teamRates {
		if rate := d.demand.teamRate(g, hash); rate > 0 {
			known = append(known, teamDemand{hash, rate, weight, rate / weight})
		}
	}
	// The order makes sums the same at each node.
	slices.SortFunc(known, func(a, b teamDemand) int {
		return cmp.Or(cmp.Compare(a.relativeDemand, b.relativeDemand), cmp.Compare(a.hash, b.hash))
	})
	left, weights := 0.0, 0.0
	for _, t := range known {
		left += t.rate * s.even
		weights += t.weight
	}
	s.level = math.Inf(1)
	for _, t := range known {
		if t.relativeDemand*weights > left {
			s.level = left / weights
			break
		}
		left -= t.rate
		weights -= t.weight
	}
	s.teams = make(map[uint32]float64, len(known))
	for _, t := range known {
		s.teams[t.hash] = min(s.level*t.weight/t.rate, 1)
	}
}

// teamFraction returns the admitted fraction of a team's requests, which is the even one
// for teams without a configured rate or known demand.
func (s *group) teamFraction(hash uint32, even float64) float64 {
	if f, ok := s.teams[hash]; ok {
		return f
	}
	return even
}

// computeRoots collects the roots with known work per request at the service.
func (d *Divide) computeRoots(s *group, service string, g grade.Grade) {
	s.roots = s.roots[:0]
	for root := range d.work.average[service] {
		slots, ok := d.work.perRequest(service, root)
		rate := d.demand.rootRate(g, root)
		if ok && rate > 0 {
			s.roots = append(s.roots, rootDemand{root, rate, slots * rate, math.Log(slots) / math.Log(workBand)})
		}
	}
	slices.SortFunc(s.roots, func(a, b rootDemand) int { return cmp.Compare(a.hash, b.hash) })
}

// rootFraction returns the admitted fraction of a root's requests of a team of whose
// requests mean is admitted. Each root keeps minRootFraction of that. The rest goes to the
// roots with the least work per request first, so that the work of all roots, at the rates
// of the whole fleet, is the same as if mean of each were admitted.
func (s *group) rootFraction(hash uint32, mean float64) float64 {
	i := slices.IndexFunc(s.roots, func(r rootDemand) bool { return r.hash == hash })
	if i < 0 || len(s.roots) < 2 || mean >= 1 {
		return mean
	}
	total, low, high := 0.0, math.Inf(1), math.Inf(-1)
	for _, r := range s.roots {
		total += r.work
		low, high = min(low, r.logWork), max(high, r.logWork)
	}
	low, high = low-1, high+1
	for range solveSteps {
		bound := (low + high) / 2
		sum := 0.0
		for _, r := range s.roots {
			sum += r.work * r.fraction(mean, bound)
		}
		if sum > mean*total {
			high = bound
		} else {
			low = bound
		}
	}
	return s.roots[i].fraction(mean, low)
}

// fraction returns the admitted fraction of the root if requests with less work than bound,
// as a logarithm, go before others. It rises evenly from the minimum to 1 over workBand.
func (r rootDemand) fraction(mean, bound float64) float64 {
	least := minRootFraction * mean
	return least + (1-least)*min(max(bound-r.logWork+0.5, 0), 1)
}
