package divide

import (
	"bergamotloom.example/card"
)

const (
	// gateMillis is the age of a gate's last card beyond which it's ignored.
	gateMillis = 1000
	// workMillis is the time constant of the averages of the work and of the requests of a
	// root. It's much longer than a chain of calls takes, as the work at a service follows
	// the admission of its requests by that time.
	workMillis = 3000
	// minAdmittedRate is the average rate of admitted requests of a root, in requests per
	// second, below which its work per request counts as unknown.
	minAdmittedRate = 0.5
	// maxSlots is the most slots in use that a card may name.
	maxSlots = 1e6
)

// work measures how much of each service's work is for each root route: the slots in use
// for it, over all targets.
type work struct {
	gates map[string]gateWork
	// sums has the current slots in use by service and root, average their EWMA.
	sums, average map[string]map[uint32]float64
	// admitted has the EWMA of the rate of admitted requests of each root, with the same
	// time constant.
	admitted map[uint32]float64
}

// gateWork is the work of each root at one gate.
type gateWork struct {
	service        string
	slots          map[uint32]float64
	lastSeenMillis int64
}

func newWork() work {
	return work{
		gates: make(map[string]gateWork), admitted: make(map[uint32]float64),
		sums: make(map[string]map[uint32]float64), average: make(map[string]map[uint32]float64),
	}
}

func (w *work) learn(c card.Card, now int64) bool {
	w.forget(c.Peers)
	if c.Target == "" || c.Stopping || len(c.RootFractions) == 0 {
		return true
	}
	if c.Running > maxSlots {
		return false
	}
	g := gateWork{service: c.Service, slots: make(map[uint32]float64, len(c.RootFractions)), lastSeenMillis: now}
	all := true
	for root, fraction := range c.RootFractions {
		if !(fraction >= 0 && fraction <= 1) {
			all = false
			continue
		}
		g.slots[root] = float64(c.Running) * float64(fraction)
	}
	w.gates[c.Peers] = g
	w.add(g, 1)
	return all
}

func (w *work) forget(peer string) {
	if g, ok := w.gates[peer]; ok {
		w.add(g, -1)
		delete(w.gates, peer)
	}
}

// add adds the work at a gate to the sums, or subtracts it if sign is -1.
func (w *work) add(g gateWork, sign float64) {
	sums, ok := w.sums[g.service]
	if !ok {
		sums = make(map[uint32]float64)
		w.sums[g.service] = sums
	}
	for root, slots := range g.slots {
		sums[root] += sign * slots
	}
}

// tick updates the averages, with the rates of admitted requests.
func (w *work) tick(now int64, millis float64, d *demand) {
	for peer, g := range w.gates {
		if now-g.lastSeenMillis > gateMillis {
			w.forget(peer)
		}
	}
	smoothingFactor := min(millis/workMillis, 1)
	roots := make(map[uint32]bool)
	for service, sums := range w.sums {
		average, ok := w.average[service]
		if !ok {
			average = make(map[uint32]float64)
			w.average[service] = average
		}
		for root, slots := range sums {
			roots[root] = true
			average[root] += (max(slots, 0) - average[root]) * smoothingFactor
			if average[root] < minRate && slots < minRate {
				delete(average, root)
				delete(sums, root)
			}
		}
	}
	for root := range roots {
		w.admitted[root] += (d.admittedRate(root) - w.admitted[root]) * smoothingFactor
	}
	for root := range w.admitted {
		if !roots[root] {
			delete(w.admitted, root)
		}
	}
}

// perRequest returns the work of one request of the root at the service, in slots in use
// at one request per second. Ok is false if it isn't known.
func (w *work) perRequest(service string, root uint32) (slots float64, ok bool) {
	average := w.average[service][root]
	if average <= 0 || w.admitted[root] < minAdmittedRate {
		return 0, false
	}
	return average / w.admitted[root], true
}
