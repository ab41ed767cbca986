package bench

import (
	"slices"

	"bergamotloom.example/bounds"
	"bergamotloom.example/level"
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
	"bergamotloom.example/ticket"
)

// hardResends is how often hard retries send a failed call again.
const hardResends = 3

// order is one request as it enters at a node: one attempt of a client.
type order struct {
	path     int
	team     int
	deadline float64
	passed   float64
	// entered says that the entry let it pass.
	entered bool
	// work is the time that targets spent on it.
	work float64
	good bool
}

// answer is what comes back for a call.
type answer struct {
	ok  bool
	ran runst.State
	// lost says that the instance couldn't be reached or went away.
	lost bool
	// own is the threshold of the gate that was asked, chain the lowest of
	// its chain with the team's level that goes with it.
	own   level.Level
	chain bounds.Bounds
	rest  retry.Allowance
}

// call is one call of a service from a node, with its retries.
type call struct {
	world   *world
	order   *order
	service int
	from    *node
	// tried holds the instances that failed.
	tried   []string
	allowed retry.Allowance
	sentAt  float64
	// chain keeps the lowest levels of all attempts.
	chain bounds.Bounds
	done  func(answer)
}

func (w *world) call(o *order, service int, from *node, allowed retry.Allowance, done func(answer)) {
	c := &call{
		world: w, order: o, service: service, from: from, allowed: allowed, done: done,
		chain: bounds.None(),
	}
	from.pairs[service].Earn()
	c.send()
}

// send sends the call to an instance.
func (c *call) send() {
	n := c.pick()
	if n == nil {
		c.finish(answer{ran: runst.Never, own: level.Full, chain: bounds.None()})
		return
	}
	w := c.world
	w.tally.sent(c.service)
	c.sentAt = w.loop.Now()
	c.from.chooser.Started(n.member.ID)
	rest, child := c.allowed.Split(1)
	c.allowed = rest
	w.loop.After(w.hop(c.from, n), func() {
		n.receive(c, child, func(a answer) {
			w.loop.After(w.hop(c.from, n), func() { c.answered(n, a) })
		})
	})
}

// pick returns the instance to ask: the policy's choice, or for baselines the
// lower reported load of two.
func (c *call) pick() *node {
	w := c.world
	if w.policy.balance {
		m, ok := c.from.chooser.Pick(w.size.services[c.service].name, c.tried...)
		if !ok {
			return nil
		}
		return w.byID[m.ID]
	}
	all := w.byService[c.service]
	a, b := all[w.random.IntN(len(all))], all[w.random.IntN(len(all))]
	if slices.Contains(c.tried, a.member.ID) || b.reported() < a.reported() {
		return b
	}
	return a
}

// answered takes the answer of one attempt.
func (c *call) answered(n *node, a answer) {
	w := c.world
	c.from.chooser.Ended(n.member.ID, a.ok, w.loop.Now()-c.sentAt, a.own)
	if a.lost {
		c.from.chooser.Eject(n.member.ID, lostMillis)
	}
	c.allowed = c.allowed.Merge(a.rest)
	c.chain = c.chain.Lower(a.chain)
	if a.ok || !c.again(a) {
		c.finish(a)
		return
	}
	c.tried = append(c.tried, n.member.ID)
	c.send()
}

// again tells whether the node sends the failed call again.
func (c *call) again(a answer) bool {
	w := c.world
	if !w.policy.budget || w.loop.Now() >= c.order.deadline {
		return false
	}
	if !retry.Safe(a.ran, w.size.paths[c.order.path].idempotent) {
		return false
	}
	rest, ok := c.allowed.Take()
	if !ok || !c.from.pairs[c.service].Spend() {
		return false
	}
	c.allowed = rest
	return true
}

func (c *call) finish(a answer) {
	a.chain = c.chain
	a.rest = c.allowed
	c.done(a)
}

// job is one request at a target.
type job struct {
	node    *node
	life    int
	order   *order
	ticket  ticket.Ticket
	reply   func(answer)
	allowed retry.Allowance
	chain   bounds.Bounds
	child   float64
	resends int
}

// receive takes a call at the gate of the node's target.
func (n *node) receive(c *call, allowed retry.Allowance, reply func(answer)) {
	w := n.world
	if n.dead {
		reply(answer{ran: runst.Never, lost: true, own: level.Full, chain: bounds.None(), rest: allowed})
		return
	}
	t := w.size.teams[c.order.team]
	j := &job{node: n, life: n.life, order: c.order, reply: reply, allowed: allowed, chain: bounds.None()}
	j.ticket = ticket.Ticket{
		Team: t.name, Weight: w.size.rate(c.order.team), Rank: w.size.paths[c.order.path].rank,
		DeadlineMillis: int64(c.order.deadline), Child: c.service > 0, AdmittedFraction: c.order.passed,
		OnSettled: func(*ticket.Ticket) { j.settled() },
	}
	n.gate.Arrive(&j.ticket)
	if !j.ticket.Queued() {
		j.settled()
	}
}

// settled goes on when the ticket was started or refused.
func (j *job) settled() {
	n := j.node
	if j.life != n.life {
		j.vanish()
		return
	}
	if j.ticket.Refused() || !n.target.accepts() {
		j.node.world.tally.refusedAt(n.service, j.order)
		if j.ticket.Started() {
			n.gate.Finish(&j.ticket, false, 0)
		}
		j.end(false, runst.Never)
		return
	}
	n.world.tally.startedAt(n.service, j.order)
	j.work()
}

// work has the target work on the request, at most up to its deadline where
// the policy cancels.
func (j *job) work() {
	n, now := j.node, j.node.world.loop.Now()
	n.target.running++
	work := n.target.workMillis(now)
	if n.world.policy.cancel {
		work = min(work, max(j.order.deadline-now, 0))
	}
	j.order.work += work
	n.world.loop.After(work, j.worked)
}

func (j *job) worked() {
	n := j.node
	if j.life != n.life {
		j.vanish()
		return
	}
	late := n.world.policy.cancel && n.world.loop.Now() >= j.order.deadline
	switch {
	case late:
		j.stop(false)
	case n.service < len(n.world.size.services)-1:
		j.callChild()
	default:
		j.stop(!n.target.broken)
	}
}

// callChild calls the next service of the chain.
func (j *job) callChild() {
	w := j.node.world
	began := w.loop.Now()
	rest, child := j.allowed.Split(1)
	j.allowed = rest
	w.call(j.order, j.node.service+1, j.node, child, func(a answer) {
		j.child += w.loop.Now() - began
		j.childAnswered(a)
	})
}

func (j *job) childAnswered(a answer) {
	if j.life != j.node.life {
		j.vanish()
		return
	}
	j.allowed = j.allowed.Merge(a.rest)
	j.chain = j.chain.Lower(a.chain)
	if !a.ok && j.resend() {
		j.callChild()
		return
	}
	j.stop(a.ok)
}

// resend tells whether the target sends its failed call again. The node
// charges that to the request's allowance.
func (j *job) resend() bool {
	w := j.node.world
	if !w.scene.hard || j.resends >= hardResends {
		return false
	}
	j.resends++
	if !w.policy.budget {
		return true
	}
	if w.loop.Now() >= j.order.deadline {
		return false
	}
	rest, ok := j.allowed.Take()
	j.allowed = rest
	return ok
}

// stop ends the work at the target.
func (j *job) stop(ok bool) {
	j.node.target.running--
	j.node.gate.Finish(&j.ticket, ok, j.child)
	j.end(ok, runst.Maybe)
}

// end sends the answer.
func (j *job) end(ok bool, ran runst.State) {
	g, team := j.node.gate, j.node.world.size.teams[j.order.team].name
	own := bounds.Bounds{Service: j.node.member.Service, Threshold: g.Threshold(), TeamLevel: g.TeamLevel(team)}
	j.reply(answer{ok: ok, ran: ran, own: own.Threshold, chain: j.chain.Lower(own), rest: j.allowed})
}

// vanish answers for a request whose instance went away.
func (j *job) vanish() {
	j.reply(answer{ran: runst.Maybe, lost: true, own: level.Full, chain: bounds.None()})
}
