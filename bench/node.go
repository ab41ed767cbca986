package bench

import (
	"math/rand/v2"

	"bergamotloom.example/choose"
	"bergamotloom.example/early"
	"bergamotloom.example/member"
	"bergamotloom.example/ratio"
)

const (
	// lostMillis is how long a lost instance is skipped.
	lostMillis = 2_000
	// oldMillis is how long nodes have been there at the start.
	oldMillis = 60_000
)

// node is a node with the policy's code and the fake target beside it.
type node struct {
	world   *world
	service int
	member  member.Member
	target  *target
	gate    admitter
	chooser *choose.Chooser
	filter  *early.Filter
	entries *ratio.Ratio
	pairs   []*ratio.Ratio
	reports []int
	dead    bool
	// life counts replacements, so that work of an earlier life is lost.
	life int
}

func newNode(w *world, service int, id, centre string, seed uint64) *node {
	n := &node{
		world:   w,
		service: service,
		member: member.Member{
			ID: id, Incarnation: -oldMillis, Service: w.size.services[service].name, Centre: centre,
			Slots: w.size.services[service].slots, Ready: true,
		},
		target: &target{
			service: w.size.services[service],
			random:  rand.New(rand.NewPCG(seed, 2)),
			speed:   1,
		},
	}
	n.boot(seed)
	return n
}

// boot gives the node its policy code, fresh.
func (n *node) boot(seed uint64) {
	c := n.world.loop.Clock()
	slots := int(float64(n.target.service.slots) * n.world.scene.claims)
	n.gate = n.world.policy.admit(c, slots)
	n.chooser = choose.New(c, n.member.Centre, seed)
	n.filter = early.New(c)
	n.entries = ratio.NewDefault()
	n.pairs = nil
	for range n.world.size.services {
		n.pairs = append(n.pairs, ratio.NewDefault())
	}
}

// lose takes the node and its target away, with all that runs there.
func (n *node) lose() {
	n.dead = true
	n.life++
}

// replace puts a new node with a cold target in the place.
func (n *node) replace() {
	n.dead = false
	n.life++
	n.member.Incarnation = n.world.loop.Clock().Now()
	n.target.running = 0
	n.target.coldUntil = n.world.loop.Now() + coldMillis
	n.boot(n.world.random.Uint64())
}

// reported returns the load that the target reports of itself.
func (n *node) reported() int {
	at := len(n.reports) - 1
	switch n.world.scene.report {
	case reportFresh:
	case reportLate:
		at -= reportLag
	case reportStuck:
		at = 0
	case reportIdle:
		return 0
	}
	if at < 0 || at >= len(n.reports) {
		return 0
	}
	return n.reports[at]
}
