package chain

import (
	"cmp"
	"math"
	"slices"
)

const millisPerSecond = 1000

// bound returns an upper bound on the worth a second that any control can reach,
// when callers send demand times the usual rate. capacityMillis is the slot time of
// each service, in milliseconds a second.
//
// Even with full knowledge, the slots of each service limit what is served. For
// a single service it's best to serve the requests with the highest worth per
// slot time first. The minimum over the services bounds the whole deployment.
func bound(demand float64, capacityMillis []float64) float64 {
	minWorth := math.Inf(1)
	for s := range capacityMillis {
		minWorth = min(minWorth, boundAt(demand, s, capacityMillis[s]))
	}
	return minWorth
}

// boundAt returns the highest worth a second when only service s is limited, to
// capacityMillis of slot time a second.
func boundAt(demand float64, s int, capacityMillis float64) float64 {
	all := kinds()
	slices.SortFunc(all, func(a, b kind) int {
		return cmp.Compare(b.worth*a.slotMillis()[s], a.worth*b.slotMillis()[s])
	})
	sum := 0.0
	for _, k := range all {
		need := demand * k.perSecond * k.slotMillis()[s]
		if need == 0 {
			sum += demand * k.perSecond * k.worth
			continue
		}
		servedFraction := min(capacityMillis/need, 1)
		capacityMillis -= servedFraction * need
		sum += servedFraction * demand * k.perSecond * k.worth
	}
	return sum
}

// capacity returns the slot time of each service during the disturbance, in
// milliseconds a second.
func (p *pattern) capacity() []float64 {
	var capacityMillis []float64
	for s, v := range services() {
		sum := 0.0
		for i := range v.instances + p.joiningAt(s) {
			switch {
			case !p.isAffected(s, i):
				sum++
			case !p.lost:
				// Work takes longer at a slow instance, as if it had fewer
				// slots. An instance that rejects can serve the retries.
				sum += p.speed
			}
		}
		capacityMillis = append(capacityMillis, sum*float64(v.slots)*millisPerSecond)
	}
	return capacityMillis
}

// joiningAt returns how many instances join a service.
func (p *pattern) joiningAt(service int) int {
	if service < p.firstService {
		return 0
	}
	return p.joining
}

// boundFraction returns the bound as a fraction of the worth of all requests.
func (p *pattern) boundFraction() float64 {
	demandedWorth := 0.0
	for _, k := range kinds() {
		demandedWorth += p.demand * k.perSecond * k.worth
	}
	return bound(p.demand, p.capacity()) / demandedWorth
}
