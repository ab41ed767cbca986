package chain

import (
	"math/rand/v2"

	"bergamotloom.example/card"
	"bergamotloom.example/cutoff"
	"bergamotloom.example/demand"
	"bergamotloom.example/grade"
	"bergamotloom.example/limit"
	"bergamotloom.example/pacer"
	"bergamotloom.example/picker"
	"bergamotloom.example/queue"
	"bergamotloom.example/ratio"
	"bergamotloom.example/screen"
)

const (
	// rankMillis, overdueMillis, failSmoothing, the budget and the offers are those of the
	// nodes (packages inbnd and outbnd).
	rankMillis    = 100
	overdueMillis = 150
	failSmoothing = 0.05
	repeatShare   = 0.12
	savedRepeats  = 5
	offers        = 3
)

// node is a node's decisions with the fake target beside it.
type node struct {
	world   *world
	service int
	id      string
	target  target
	screen  *screen.Screen
	picker  *picker.Picker
	queue   *queue.Queue
	limit   *limit.Limit
	pacer   *pacer.Pacer
	demand  *demand.Demand
	cutoff  cutoff.Cutoff
	repeats []*ratio.Ratio
	failing float64
	dead    bool
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
	n.screen = screen.New(c, seed)
	n.picker = picker.New(c, "", seed)
	n.limit = limit.New(n.target.slots)
	n.pacer = pacer.New()
	n.demand = demand.New(c.Fine())
	n.cutoff = cutoff.Full()
	n.queue = queue.New(c)
	n.queue.SetLimit(n.limit.Choose(false, c.Now()), 0)
	n.queue.Open()
	n.failing = 0
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
	running, waiting := n.queue.Load()
	c := n.world.loop.Clock()
	chosen := n.limit.Choose(waiting > 0, c.Now())
	run := n.limit.RunMillis()
	n.queue.SetLimit(chosen, run)
	arrived := n.demand.Tick(c.Fine(), float64(chosen))
	n.cutoff = n.pacer.Step(arrived, float64(waiting)*run/float64(chosen))
	n.sequence++
	told := n.card()
	told.Running, told.Waiting = running, waiting
	return told
}

func (n *node) card() card.Card {
	told := card.Card{
		Peers: n.id, Incarnation: n.life, Sequence: n.sequence, Service: services()[n.service].name, Target: n.id,
		Limit: n.limit.Slots(), RunMillis: float32(n.limit.RunMillis()), Failing: float32(n.failing),
		Cutoff: float32(n.cutoff.Grades), Least: float32(n.cutoff.Least), Uses: make(map[uint32]float32),
	}
	for root, used := range n.demand.Uses() {
		told.Uses[card.Hash(root)] = float32(used)
	}
	return told
}

// enter takes a caller's try at the entry.
func (n *node) enter(e *errand, done func(o outcome, retryAfter float64)) {
	w, k := n.world, n.world.kinds[e.kind]
	t := &try{
		root: k.name, grade: grade.New(0, false, k.rank),
		goal: e.sentAt + k.goal, due: e.deadline,
	}
	if w.policy.screen && !n.screen.Admits(t.root, t.grade) {
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
