package chain

import (
	"fmt"
	"math/rand/v2"

	"bergamotloom.example/event"
)

const (
	// tickMillis is the time between two updates of a node's decisions, each of
	// which it broadcasts with a status card.
	tickMillis = 100
	// hopMillis is the network delay between two nodes, and clientMillis that
	// between a caller and its node, one way.
	hopMillis    = 0.5
	clientMillis = 3
	// coldMillis is how long a new target works at the relative speed coldSpeed.
	coldMillis = 3000
	coldSpeed  = 0.5
)

// world is the state of one simulation.
type world struct {
	loop    *event.Loop
	random  *rand.Rand
	pattern pattern
	policy  policy
	kinds   []kind
	nodes   []*node
	byID    map[string]*node
	// byService holds the nodes of each service.
	byService [][]*node
	tally     tally
}

func newWorld(p pattern, c policy, seed uint64) *world {
	w := &world{
		loop:      event.New(),
		random:    rand.New(rand.NewPCG(seed, seed+1)),
		pattern:   p,
		policy:    c,
		kinds:     kinds(),
		byID:      make(map[string]*node),
		byService: make([][]*node, len(services())),
		tally:     newTally(),
	}
	for s, v := range services() {
		for range v.instances {
			w.join(s)
		}
	}
	return w
}

// join adds an instance of a service.
func (w *world) join(s int) *node {
	id := fmt.Sprintf("%s%d", services()[s].name, len(w.byService[s]))
	n := newNode(w, s, id, w.random.Uint64())
	w.nodes = append(w.nodes, n)
	w.byID[id] = n
	w.byService[s] = append(w.byService[s], n)
	return n
}

func (w *world) run() {
	w.loop.Every(tickMillis, w.tick)
	w.loop.After(disturbanceStartMillis, w.startDisturbance)
	w.loop.After(disturbanceEndMillis, w.endDisturbance)
	for i := range w.kinds {
		w.arrive(i)
	}
	w.loop.Run(endMillis)
}

// tick updates every node's decisions and broadcasts their cards.
func (w *world) tick() {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		card := n.tick()
		w.loop.After(hopMillis, func() {
			for _, other := range w.nodes {
				other.entry.learn(card)
				other.picker.Learn(card)
			}
		})
	}
}

// startDisturbance applies the pattern's disturbance.
func (w *world) startDisturbance() {
	w.eachAffected(func(n *node) {
		n.target.speed, n.target.rejectFraction = w.pattern.speed, w.pattern.rejectFraction
		if w.pattern.lost {
			n.lose()
		}
	})
	for s := range services() {
		for range w.pattern.joiningAt(s) {
			w.join(s).target.coldUntilMillis = w.loop.Now() + coldMillis
		}
	}
}

// endDisturbance restores the usual state, but for the instances that joined.
func (w *world) endDisturbance() {
	w.eachAffected(func(n *node) {
		n.target.speed, n.target.rejectFraction = 1, 0
		if n.dead {
			n.restart()
		}
	})
}

func (w *world) eachAffected(do func(*node)) {
	for s, all := range w.byService {
		for i, n := range all {
			if w.pattern.isAffected(s, i) {
				do(n)
			}
		}
	}
}

// drawEntry returns a random live node, whose entry receives a request.
func (w *world) drawEntry() *node {
	for {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if !n.dead {
			return n
		}
	}
}
