package chain

import (
	"cmp"
	"math"
	"slices"
)

const millisPerSecond = 1000

// bound returns the most worth a second that any plan could reach when callers
// send demand times the usual, with so much slot time a second of each service.
//
// A plan that knows all has to keep within each service's slots. For one
// service alone, the best is to take what is worth most for its time first; the
// least of these figures over the services is a bound for all of them.
func bound(demand float64, room []float64) float64 {
	least := math.Inf(1)
	for s := range room {
		least = min(least, best(demand, s, room[s]))
	}
	return least
}

// best returns the most worth a second with so much time at one service alone.
func best(demand float64, s int, room float64) float64 {
	all := kinds()
	slices.SortFunc(all, func(a, b kind) int {
		return cmp.Compare(b.worth*a.uses()[s], a.worth*b.uses()[s])
	})
	sum := 0.0
	for _, k := range all {
		need := demand * k.perS * k.uses()[s]
		if need == 0 {
			sum += demand * k.perS * k.worth
			continue
		}
		part := min(room/need, 1)
		room -= part * need
		sum += part * demand * k.perS * k.worth
	}
	return sum
}

// room returns the slot time a second that each service has while the cause
// lasts.
func (p *pattern) room() []float64 {
	var room []float64
	for s, v := range services() {
		sum := 0.0
		for i := range v.instances + p.freshOf(s) {
			switch {
			case !p.disturbed(s, i):
				sum++
			case !p.lost:
				// Work takes longer at a slow instance, as if it had fewer
				// slots. One that rejects takes what is sent again.
				sum += p.speed
			}
		}
		room = append(room, sum*float64(v.slots)*millisPerSecond)
	}
	return room
}

// freshOf returns how many instances of a service join.
func (p *pattern) freshOf(service int) int {
	if service < p.first {
		return 0
	}
	return p.fresh
}

// boundPart returns the bound as a part of what callers ask for.
func (p *pattern) boundPart() float64 {
	asked := 0.0
	for _, k := range kinds() {
		asked += p.demand * k.perS * k.worth
	}
	return bound(p.demand, p.room()) / asked
}
