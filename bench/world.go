package bench

import (
	"fmt"
	"math/rand/v2"

	"bergamotloom.example/event"
	"bergamotloom.example/member"
)

const (
	tickIntervalMillis = 10
	// reportIntervalMillis is the time between two load reports of a target,
	// reportLagCount how many reports behind a late one is,
	// which makes 5 s.
	reportIntervalMillis = 100
	reportLagCount       = 50
	// membershipDelayMillis is how long the members list takes to reflect a loss.
	membershipDelayMillis = 1_000
	// affectedEvery says that every third server is lost or replaced.
	affectedEvery = 3
)

// world is the state of one simulation.
type world struct {
	loop       *event.Loop
	random     *rand.Rand
	deployment deployment
	scenario   scenario
	policy     policy
	nodes      []*node
	byID       map[string]*node
	// byService holds the nodes of each service, by its index.
	byService [][]*node
	tally     *tally
	// usualCapacity is the capacity in requests a second, disturbedCapacity that
	// during the disturbance.
	usualCapacity     float64
	disturbedCapacity float64
	// usualDemand and disturbedDemand are the demands outside of the disturbance
	// and during it.
	usualDemand     demand
	disturbedDemand demand
}

func newWorld(z deployment, s scenario, p policy, seed uint64) *world {
	w := &world{
		loop:       event.New(),
		random:     rand.New(rand.NewPCG(seed, seed+1)),
		deployment: z,
		scenario:   s,
		policy:     p,
		byID:       map[string]*node{},
		byService:  make([][]*node, len(z.services)),
	}
	w.tally = newTally(w)
	w.addNodes(seed)
	w.updateMembers()
	w.usualCapacity = z.fullCapacity()
	w.usualDemand, w.disturbedDemand = z.usualDemand(), z.disturbedDemand(&w.scenario)
	w.disturbedCapacity = z.capacity(w.liveServers(), s.speed)
	return w
}

func (w *world) addNodes(seed uint64) {
	for i, v := range w.deployment.services {
		for j := range v.servers {
			id := fmt.Sprintf("%s%d", v.name, j)
			n := newNode(w, i, id, w.deployment.centres[j%len(w.deployment.centres)], seed+uint64(len(w.nodes)))
			w.nodes = append(w.nodes, n)
			w.byID[id] = n
			w.byService[i] = append(w.byService[i], n)
		}
	}
}

// updateMembers sets the members list of every node to the live nodes.
func (w *world) updateMembers() {
	var all []member.Member
	for _, n := range w.nodes {
		if !n.dead {
			all = append(all, n.member)
		}
	}
	for _, n := range w.nodes {
		n.chooser.Update(all)
	}
}

// run runs the scenario to its end.
func (w *world) run() {
	w.loop.Every(tickIntervalMillis, w.tick)
	w.loop.Every(reportIntervalMillis, w.recordReports)
	w.loop.After(disturbanceStartMillis, w.startDisturbance)
	w.loop.After(w.scenario.disturbanceEndMillis(), w.endDisturbance)
	w.loop.After(0, w.arrive)
	w.loop.Run(w.scenario.endMillis())
}

func (w *world) tick() {
	for _, n := range w.nodes {
		if !n.dead {
			n.gate.Tick()
		}
	}
}

func (w *world) recordReports() {
	for _, n := range w.nodes {
		n.reports = append(n.reports, n.target.running)
	}
}

// startDisturbance applies the scenario's disturbance.
func (w *world) startDisturbance() {
	w.setDeepest(w.scenario.speed, w.scenario.broken)
	if w.scenario.lost {
		w.eachThird((*node).lose)
		w.loop.After(membershipDelayMillis, w.updateMembers)
	}
	if w.scenario.cold {
		w.eachThird((*node).replace)
		w.updateMembers()
	}
}

// endDisturbance restores the usual state.
func (w *world) endDisturbance() {
	w.setDeepest(1, false)
	if w.scenario.lost {
		w.eachThird((*node).replace)
		w.updateMembers()
	}
}

func (w *world) setDeepest(speed float64, broken bool) {
	for _, n := range w.byService[len(w.byService)-1] {
		n.target.speed = speed
		n.target.broken = broken
	}
}

func (w *world) eachThird(do func(*node)) {
	for i, n := range w.nodes {
		if i%affectedEvery == 0 {
			do(n)
		}
	}
}

// capacity returns the capacity of the deployment at this time, in requests a
// second.
func (w *world) capacity(now float64) float64 {
	if !w.scenario.isDisturbed(now) {
		return w.usualCapacity
	}
	return w.disturbedCapacity
}

// liveServers returns the number of live servers of each service during the
// disturbance.
func (w *world) liveServers() []int {
	live := make([]int, len(w.deployment.services))
	for i, n := range w.nodes {
		if !w.scenario.lost || i%affectedEvery != 0 {
			live[n.service]++
		}
	}
	return live
}

// oneWayMillis returns the network delay between two nodes, one way. It's
// shorter within a data centre.
func (w *world) oneWayMillis(a, b *node) float64 {
	if a.member.Centre == b.member.Centre {
		return w.deployment.hopDelayMillis / 5
	}
	return w.deployment.hopDelayMillis
}
