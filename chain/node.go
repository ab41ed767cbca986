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
	// The retry budget and the number of offers are those of the nodes (package
	// outbnd).
	retriesPerAttempt = 0.12
	maxRetryBalance   = 5
	maxOffers         = 3
)

// node holds the decision code of a node and its simulated target.
type node struct {
	world        *world
	service      int
	id           string
	target       target
	entry        admission
	picker       *picker.Picker
	queue        *queue.Queue
	governor     *govern.Governor
	retryBudgets []*ratio.Ratio
	dead         bool
	// incarnation is raised by each loss, so that work of an earlier incarnation is
	// recognized as lost.
	incarnation int64
	sequence    int64
}

func newNode(w *world, s int, id string, seed uint64) *node {
	n := &node{world: w, service: s, id: id}
	n.target = target{slots: services()[s].slots, speed: 1, random: rand.New(rand.NewPCG(seed, 2))}
	n.start(seed)
	return n
}

func (n *node) start(seed uint64) {
	c := n.world.loop.Clock()
	n.entry = n.world.policy.newAdmission(n)
	n.picker = picker.New(c, "", seed)
	n.queue = queue.New(c)
	n.governor = govern.New(c, n.queue, n.target.slots)
	n.governor.ApplyLimit()
	n.queue.Open()
	n.retryBudgets = nil
	for range services() {
		n.retryBudgets = append(n.retryBudgets, ratio.New(retriesPerAttempt, maxRetryBalance))
	}
	for _, other := range n.world.nodes {
		n.picker.Learn(other.card())
	}
}

// lose stops the node and its target; all that runs there is lost.
func (n *node) lose() {
	n.dead = true
	n.incarnation++
	n.target.running, n.target.waiting = 0, nil
}

// restart starts the node again, with a cold target.
func (n *node) restart() {
	n.dead = false
	n.target.coldUntilMillis = n.world.loop.Now() + coldMillis
	n.start(n.world.random.Uint64())
}

// tick updates the gate's and the entry's decisions and returns the node's next
// status card.
func (n *node) tick() card.Card {
	n.governor.Tick()
	n.entry.tick()
	n.sequence++
	return n.card()
}

func (n *node) card() card.Card {
	return n.governor.Describe(card.Card{
		Peers: n.id, Incarnation: n.incarnation, Sequence: n.sequence, Service: services()[n.service].name, Target: n.id,
	})
}

// enter receives a caller's attempt at the entry.
func (n *node) enter(cr *callerRequest, done func(o outcome, retryAfterMillis float64)) {
	w, k := n.world, n.world.kinds[cr.kind]
	a := &callerAttempt{
		root: k.name, grade: k.grade(),
		objectiveMillis: cr.sentMillis + k.objectiveMillis, deadlineMillis: cr.deadlineMillis,
	}
	if !n.entry.admits(k) {
		done(refused, w.retryAfter(cr))
		return
	}
	ended := false
	respond := func(o outcome) {
		if ended {
			return
		}
		ended, a.ended = true, true
		done(o, w.retryAfter(cr))
	}
	// At the deadline the caller gets a response even if work is still running.
	w.loop.After(max(a.deadlineMillis-w.loop.Now(), 0), func() { respond(failed) })
	w.call(a, n, k.entryStep, false, func(o outcome) {
		w.tally.recordSlotTime(a.slotMillis, o)
		respond(o)
	})
}
