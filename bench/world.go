package bench

import (
	"fmt"
	"math/rand/v2"

	"bergamotloom.example/event"
	"bergamotloom.example/member"
)

const (
	tickMillis = 10
	// reportMillis is how often targets report their load, reportLag how
	// old a late report is, in reports.
	reportMillis = 100
	reportLag    = 50
	// gossipMillis is how long the list of members takes to follow.
	gossipMillis = 1_000
	// replaceEvery says that every third server is lost or replaced.
	replaceEvery = 3
)

// world is one scenario at one deployment under one policy.
type world struct {
	loop   *event.Loop
	random *rand.Rand
	size   size
	scene  scene
	policy policy
	nodes  []*node
	byID   map[string]*node
	// byService holds the nodes of each service for the baselines.
	byService [][]*node
	tally     *tally
	// usual is the capacity in requests a second, disturbed the one while the
	// cause lasts.
	usual     float64
	disturbed float64
	// calm and rush are the demands outside of the cause and while it lasts.
	calm demand
	rush demand
}

func newWorld(z size, s scene, p policy, seed uint64) *world {
	w := &world{
		loop:      event.New(),
		random:    rand.New(rand.NewPCG(seed, seed+1)),
		size:      z,
		scene:     s,
		policy:    p,
		byID:      map[string]*node{},
		byService: make([][]*node, len(z.services)),
	}
	w.tally = newTally(w)
	w.addNodes(seed)
	w.gossip()
	w.usual = z.usual()
	w.calm, w.rush = z.usualDemand(), z.causeDemand(&w.scene)
	w.disturbed = z.capacity(w.liveServers(), s.speed)
	return w
}

func (w *world) addNodes(seed uint64) {
	for i, v := range w.size.services {
		for j := range v.servers {
			id := fmt.Sprintf("%s%d", v.name, j)
			n := newNode(w, i, id, w.size.centres[j%len(w.size.centres)], seed+uint64(len(w.nodes)))
			w.nodes = append(w.nodes, n)
			w.byID[id] = n
			w.byService[i] = append(w.byService[i], n)
		}
	}
}

// gossip tells every node of all live members.
func (w *world) gossip() {
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

// play runs the scenario to its end.
func (w *world) play() {
	w.loop.Every(tickMillis, w.tick)
	w.loop.Every(reportMillis, w.report)
	w.loop.After(warmMillis, w.begin)
	w.loop.After(w.scene.endMillis(), w.end)
	w.loop.After(0, w.arrive)
	w.loop.Run(w.scene.stopMillis())
}

func (w *world) tick() {
	for _, n := range w.nodes {
		if !n.dead {
			n.gate.Tick()
		}
	}
}

func (w *world) report() {
	for _, n := range w.nodes {
		n.reports = append(n.reports, n.target.running)
	}
}

// begin brings the cause about, end takes it away.
func (w *world) begin() {
	w.setDeepest(w.scene.speed, w.scene.broken)
	if w.scene.lost {
		w.eachThird((*node).lose)
		w.loop.After(gossipMillis, w.gossip)
	}
	if w.scene.cold {
		w.eachThird((*node).replace)
		w.gossip()
	}
}

func (w *world) end() {
	w.setDeepest(1, false)
	if w.scene.lost {
		w.eachThird((*node).replace)
		w.gossip()
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
		if i%replaceEvery == 0 {
			do(n)
		}
	}
}

// capacity returns what the deployment can serve at this time, in requests a
// second.
func (w *world) capacity(now float64) float64 {
	if !w.scene.during(now) {
		return w.usual
	}
	return w.disturbed
}

// liveServers returns the number of each service's servers while the cause
// lasts.
func (w *world) liveServers() []int {
	live := make([]int, len(w.size.services))
	for i, n := range w.nodes {
		if !w.scene.lost || i%replaceEvery != 0 {
			live[n.service]++
		}
	}
	return live
}

// hop returns the time between two nodes, one way.
func (w *world) hop(a, b *node) float64 {
	if a.member.Centre == b.member.Centre {
		return w.size.hopMillis / 5
	}
	return w.size.hopMillis
}
