package bench

import (
	"slices"

	"bergamotloom.example/bounds"
	"bergamotloom.example/level"
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
	"bergamotloom.example/ticket"
)

// maxAggressiveRetries is how many times clients and targets with aggressive
// retries send a failed call again.
const maxAggressiveRetries = 3

// clientAttempt is one attempt of a client at the entry of a node.
type clientAttempt struct {
	route            int
	team             int
	deadlineMillis   float64
	admittedFraction float64
	// entered says that the entry admitted it.
	entered bool
	// work is the time that targets spent on it, in milliseconds.
	work   float64
	served bool
}

// response is the result of a call.
type response struct {
	ok  bool
	ran runst.State
	// lost says that the instance couldn't be reached or was lost.
	lost bool
	// gateThreshold is the threshold of the gate that received the call. chain is
	// the lowest threshold along the chain of calls, with its service and the
	// team's level there.
	gateThreshold   level.Level
	chain           bounds.Bounds
	unusedAllowance retry.Allowance
}

// call is a call of a service from a node, with its retries.
type call struct {
	world   *world
	attempt *clientAttempt
	service int
	from    *node
	// failedIDs holds the instances that failed.
	failedIDs  []string
	allowance  retry.Allowance
	sentMillis float64
	// chain holds the lowest levels of all attempts.
	chain bounds.Bounds
	done  func(response)
}

func (w *world) call(attempt *clientAttempt, service int, from *node, allowance retry.Allowance, done func(response)) {
	c := &call{
		world: w, attempt: attempt, service: service, from: from, allowance: allowance, done: done,
		chain: bounds.None(),
	}
	from.callBudgets[service].Earn()
	c.send()
}

// send makes one attempt at an instance.
func (c *call) send() {
	n := c.pickInstance()
	if n == nil {
		c.finish(response{ran: runst.Never, gateThreshold: level.Full, chain: bounds.None()})
		return
	}
	w := c.world
	w.tally.recordAttempt(c.service)
	c.sentMillis = w.loop.Now()
	c.from.chooser.Started(n.member.ID)
	rest, childAllowance := c.allowance.Split(1)
	c.allowance = rest
	w.loop.After(w.oneWayMillis(c.from, n), func() {
		n.receive(c, childAllowance, func(resp response) {
			w.loop.After(w.oneWayMillis(c.from, n), func() { c.handleResponse(n, resp) })
		})
	})
}

// pickInstance selects an instance: the chooser's selection, or for policies
// without load balancing the less loaded of two random ones.
func (c *call) pickInstance() *node {
	w := c.world
	if w.policy.balanceLoad {
		m, ok := c.from.chooser.Pick(w.deployment.services[c.service].name, c.failedIDs...)
		if !ok {
			return nil
		}
		return w.byID[m.ID]
	}
	all := w.byService[c.service]
	a, b := all[w.random.IntN(len(all))], all[w.random.IntN(len(all))]
	if slices.Contains(c.failedIDs, a.member.ID) || b.reportedLoad() < a.reportedLoad() {
		return b
	}
	return a
}

// handleResponse retries the call or ends it with the response of an attempt.
func (c *call) handleResponse(n *node, resp response) {
	w := c.world
	c.from.chooser.Ended(n.member.ID, resp.ok, w.loop.Now()-c.sentMillis, resp.gateThreshold)
	if resp.lost {
		c.from.chooser.Eject(n.member.ID, ejectMillis)
	}
	c.allowance = c.allowance.Merge(resp.unusedAllowance)
	c.chain = c.chain.Lower(resp.chain)
	if resp.ok || !c.mayRetry(resp) {
		c.finish(resp)
		return
	}
	c.failedIDs = append(c.failedIDs, n.member.ID)
	c.send()
}

// mayRetry reports whether the node retries the failed call, and charges the
// retry to the budget and the allowance.
func (c *call) mayRetry(resp response) bool {
	w := c.world
	if !w.policy.retryBudget || w.loop.Now() >= c.attempt.deadlineMillis {
		return false
	}
	if !retry.Safe(resp.ran, w.deployment.routes[c.attempt.route].idempotent) {
		return false
	}
	rest, ok := c.allowance.Take()
	if !ok || !c.from.callBudgets[c.service].Spend() {
		return false
	}
	c.allowance = rest
	return true
}

func (c *call) finish(resp response) {
	resp.chain = c.chain
	resp.unusedAllowance = c.allowance
	c.done(resp)
}

// job is a call at a target.
type job struct {
	node        *node
	incarnation int
	attempt     *clientAttempt
	ticket      ticket.Ticket
	reply       func(response)
	allowance   retry.Allowance
	chain       bounds.Bounds
	childMillis float64
	retries     int
}

// receive offers a call to the gate of the node's target.
func (n *node) receive(c *call, allowance retry.Allowance, reply func(response)) {
	w := n.world
	if n.dead {
		reply(response{ran: runst.Never, lost: true, gateThreshold: level.Full, chain: bounds.None(), unusedAllowance: allowance})
		return
	}
	t := w.deployment.teams[c.attempt.team]
	j := &job{node: n, incarnation: n.incarnation, attempt: c.attempt, reply: reply, allowance: allowance, chain: bounds.None()}
	j.ticket = ticket.Ticket{
		Team: t.name, Weight: w.deployment.rate(c.attempt.team), Rank: w.deployment.routes[c.attempt.route].rank,
		DeadlineMillis: int64(c.attempt.deadlineMillis), Child: c.service > 0, AdmittedFraction: c.attempt.admittedFraction,
		OnSettled: func(*ticket.Ticket) { j.handleDecision() },
	}
	n.gate.Arrive(&j.ticket)
	if !j.ticket.Queued() {
		j.handleDecision()
	}
}

// handleDecision runs or refuses the call once the gate has decided.
func (j *job) handleDecision() {
	n := j.node
	if j.incarnation != n.incarnation {
		j.respondLost()
		return
	}
	if j.ticket.Refused() || !n.target.accepts() {
		j.node.world.tally.recordRefused(n.service, j.attempt)
		if j.ticket.Started() {
			n.gate.Finish(&j.ticket, false, 0)
		}
		j.respond(false, runst.Never)
		return
	}
	n.world.tally.recordStarted(n.service, j.attempt)
	j.startWork()
}

// startWork runs the call at the target. If the policy cancels overdue work, it
// runs until the deadline at most.
func (j *job) startWork() {
	n, now := j.node, j.node.world.loop.Now()
	n.target.running++
	work := n.target.workMillis(now)
	if n.world.policy.cancelOverdue {
		work = min(work, max(j.attempt.deadlineMillis-now, 0))
	}
	j.attempt.work += work
	n.world.loop.After(work, j.finishWork)
}

func (j *job) finishWork() {
	n := j.node
	if j.incarnation != n.incarnation {
		j.respondLost()
		return
	}
	overdue := n.world.policy.cancelOverdue && n.world.loop.Now() >= j.attempt.deadlineMillis
	switch {
	case overdue:
		j.stop(false)
	case n.service < len(n.world.deployment.services)-1:
		j.callChild()
	default:
		j.stop(!n.target.broken)
	}
}

// callChild calls the next service in the chain.
func (j *job) callChild() {
	w := j.node.world
	startedMillis := w.loop.Now()
	rest, childAllowance := j.allowance.Split(1)
	j.allowance = rest
	w.call(j.attempt, j.node.service+1, j.node, childAllowance, func(resp response) {
		j.childMillis += w.loop.Now() - startedMillis
		j.handleChildResponse(resp)
	})
}

func (j *job) handleChildResponse(resp response) {
	if j.incarnation != j.node.incarnation {
		j.respondLost()
		return
	}
	j.allowance = j.allowance.Merge(resp.unusedAllowance)
	j.chain = j.chain.Lower(resp.chain)
	if !resp.ok && j.mayRetryChild() {
		j.callChild()
		return
	}
	j.stop(resp.ok)
}

// mayRetryChild reports whether the target retries its failed child call. The node
// charges that to the request's allowance.
func (j *job) mayRetryChild() bool {
	w := j.node.world
	if !w.scenario.aggressiveRetries || j.retries >= maxAggressiveRetries {
		return false
	}
	j.retries++
	if !w.policy.retryBudget {
		return true
	}
	if w.loop.Now() >= j.attempt.deadlineMillis {
		return false
	}
	rest, ok := j.allowance.Take()
	j.allowance = rest
	return ok
}

// stop releases the target and the gate's slot, and sends the response.
func (j *job) stop(ok bool) {
	j.node.target.running--
	j.node.gate.Finish(&j.ticket, ok, j.childMillis)
	j.respond(ok, runst.Maybe)
}

// respond sends the response with the gate's levels.
func (j *job) respond(ok bool, ran runst.State) {
	g, team := j.node.gate, j.node.world.deployment.teams[j.attempt.team].name
	own := bounds.Bounds{Service: j.node.member.Service, Threshold: g.Threshold(), TeamLevel: g.TeamLevel(team)}
	j.reply(response{ok: ok, ran: ran, gateThreshold: own.Threshold, chain: j.chain.Lower(own), unusedAllowance: j.allowance})
}

// respondLost reports the loss of the instance that ran the call.
func (j *job) respondLost() {
	j.reply(response{ran: runst.Maybe, lost: true, gateThreshold: level.Full, chain: bounds.None()})
}
