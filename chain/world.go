package chain

import (
	"fmt"
	"math/rand/v2"

	"bergamotloom.example/event"
)

const (
	// tickMillis is the time between two steps of a node's decisions, after
	// which its card reaches the others.
	tickMillis = 100
	// hopMillis is the time between two nodes, and clientMillis that between a
	// caller and its node, one way.
	hopMillis    = 0.5
	clientMillis = 3
	// coldMillis is how long a new target works at coldSpeed.
	coldMillis = 3000
	coldSpeed  = 0.5
)

// world is one pattern under one control.
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

func (w *world) play() {
	w.loop.Every(tickMillis, w.tick)
	w.loop.After(causeAt, w.begin)
	w.loop.After(causeEnd, w.end)
	for i := range w.kinds {
		w.arrive(i)
	}
	w.loop.Run(stopAt)
}

// tick moves every node's decisions on and spreads the cards.
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

// begin brings the cause about, end takes it away.
func (w *world) begin() {
	w.each(func(n *node) {
		n.target.speed, n.target.reject = w.pattern.speed, w.pattern.reject
		if w.pattern.lost {
			n.lose()
		}
	})
	for s := range services() {
		for range w.pattern.freshOf(s) {
			w.join(s).target.coldUntil = w.loop.Now() + coldMillis
		}
	}
}

func (w *world) end() {
	w.each(func(n *node) {
		n.target.speed, n.target.reject = 1, 0
		if n.dead {
			n.restart()
		}
	})
}

func (w *world) each(do func(*node)) {
	for s, all := range w.byService {
		for i, n := range all {
			if w.pattern.disturbed(s, i) {
				do(n)
			}
		}
	}
}

// entry returns the node that a caller sends its request to.
func (w *world) entry() *node {
	for {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if !n.dead {
			return n
		}
	}
}
