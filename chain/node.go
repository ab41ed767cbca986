package chain

import (
	"math/rand/v2"

	"bergamotloom.example/card"
	"bergamotloom.example/govern"
	"bergamotloom.example/picker"
	"bergamotloom.example/queue"
	"bergamotloom.example/ratio"
)

const (
	// The budget of repeats and the offers are those of the nodes' entries
	// (package outbnd).
	repeatShare  = 0.12
	savedRepeats = 5
	offers       = 3
)

// node is a node's decisions with the fake target beside it.
type node struct {
	world    *world
	service  int
	id       string
	target   target
	entry    admission
	picker   *picker.Picker
	queue    *queue.Queue
	governor *govern.Governor
	repeats  []*ratio.Ratio
	dead     bool
	// life counts the starts, so that work of an earlier one is lost.
	life     int64
	sequence int64
}

func newNode(w *world, s int, id string, seed uint64) *node {
	n := &node{world: w, service: s, id: id}
	n.target = target{slots: services()[s].slots, speed: 1, random: rand.New(rand.NewPCG(seed, 2))}
	n.start(seed)
	return n
}

func (n *node) start(seed uint64) {
	c := n.world.loop.Clock()
	n.entry = n.world.policy.admits(n)
	n.picker = picker.New(c, "", seed)
	n.queue = queue.New(c)
	n.governor = govern.New(c, n.queue, n.target.slots)
	n.governor.ApplyLimit()
	n.queue.Open()
	n.repeats = nil
	for range services() {
		n.repeats = append(n.repeats, ratio.New(repeatShare, savedRepeats))
	}
	for _, other := range n.world.nodes {
		n.picker.Learn(other.card())
	}
}

// lose takes the node and its target away, with all that runs there.
func (n *node) lose() {
	n.dead = true
	n.life++
	n.target.running, n.target.waiting = 0, nil
}

// restart brings them back, cold.
func (n *node) restart() {
	n.dead = false
	n.target.coldUntil = n.world.loop.Now() + coldMillis
	n.start(n.world.random.Uint64())
}

// tick moves the gate's decisions on and returns the node's card.
func (n *node) tick() card.Card {
	n.governor.Tick()
	n.entry.tick()
	n.sequence++
	return n.card()
}

func (n *node) card() card.Card {
	return n.governor.Describe(card.Card{
		Peers: n.id, Incarnation: n.life, Sequence: n.sequence, Service: services()[n.service].name, Target: n.id,
	})
}

// enter takes a caller's try at the entry.
func (n *node) enter(e *errand, done func(o outcome, retryAfter float64)) {
	w, k := n.world, n.world.kinds[e.kind]
	t := &try{
		root: k.name, grade: k.grade(),
		goal: e.sentAt + k.goal, due: e.deadline,
	}
	if !n.entry.admits(k) {
		done(refused, w.retryAfter(e))
		return
	}
	ended := false
	end := func(o outcome) {
		if ended {
			return
		}
		ended, t.ended = true, true
		done(o, w.retryAfter(e))
	}
	// A caller whose time is over gets its answer at once.
	w.loop.After(max(t.due-w.loop.Now(), 0), func() { end(failed) })
	w.call(t, n, k.first, false, func(o outcome) {
		w.tally.spent(t.took, o)
		end(o)
	})
}
