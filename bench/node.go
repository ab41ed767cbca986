package bench

import (
	"math/rand/v2"

	"bergamotloom.example/choose"
	"bergamotloom.example/early"
	"bergamotloom.example/member"
	"bergamotloom.example/ratio"
)

const (
	// ejectMillis is how long a lost instance is ejected from selection.
	ejectMillis = 2_000
	// initialAgeMillis is the age of the nodes at the start, so that none is in
	// its slow start.
	initialAgeMillis = 60_000
)

// node is a node with the code of a policy and its simulated target.
type node struct {
	world       *world
	service     int
	member      member.Member
	target      *target
	gate        admitter
	chooser     *choose.Chooser
	filter      *early.Filter
	entryBudget *ratio.Ratio
	callBudgets []*ratio.Ratio
	reports     []int
	dead        bool
	// incarnation is raised by each loss and replacement, so that work of an
	// earlier incarnation is recognized as lost.
	incarnation int
}

func newNode(w *world, service int, id, centre string, seed uint64) *node {
	n := &node{
		world:   w,
		service: service,
		member: member.Member{
			ID: id, Incarnation: -initialAgeMillis, Service: w.deployment.services[service].name, Centre: centre,
			Slots: w.deployment.services[service].slots, Ready: true,
		},
		target: &target{
			service: w.deployment.services[service],
			random:  rand.New(rand.NewPCG(seed, 2)),
			speed:   1,
		},
	}
	n.reset(seed)
	return n
}

// reset gives the node the policy's code without any earlier state.
func (n *node) reset(seed uint64) {
	c := n.world.loop.Clock()
	announcedSlots := int(float64(n.target.service.slots) * n.world.scenario.slotsFactor)
	n.gate = n.world.policy.newAdmitter(c, announcedSlots)
	n.chooser = choose.New(c, n.member.Centre, seed)
	n.filter = early.New(c)
	n.entryBudget = ratio.NewDefault()
	n.callBudgets = nil
	for range n.world.deployment.services {
		n.callBudgets = append(n.callBudgets, ratio.NewDefault())
	}
}

// lose stops the node and its target; all that runs there is lost.
func (n *node) lose() {
	n.dead = true
	n.incarnation++
}

// replace starts a new node with a cold target at the same address.
func (n *node) replace() {
	n.dead = false
	n.incarnation++
	n.member.Incarnation = n.world.loop.Clock().Now()
	n.target.running = 0
	n.target.coldUntilMillis = n.world.loop.Now() + coldStartMillis
	n.reset(n.world.random.Uint64())
}

// reportedLoad returns the last load report of the target, subject to the
// scenario's report fault.
func (n *node) reportedLoad() int {
	index := len(n.reports) - 1
	switch n.world.scenario.reportFault {
	case reportFresh:
	case reportLate:
		index -= reportLagCount
	case reportStuck:
		index = 0
	case reportIdle:
		return 0
	}
	if index < 0 || index >= len(n.reports) {
		return 0
	}
	return n.reports[index]
}
