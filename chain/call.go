package chain

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/reason"
)

// outcome is the result of a call.
type outcome int

const (
	served outcome = iota
	// refused means that a gate refused the call, or that no instance is known. It
	// didn't run.
	refused
	// unreached means that the node was dead. The call didn't run.
	unreached
	// rejected means that the target itself rejected the call. It didn't run.
	rejected
	// failed means that the call ran and failed, or that its caller timed out.
	failed
	// lost means that the instance was lost while it had the call.
	lost
)

// callerAttempt is a caller's attempt of a request, with all of its calls.
type callerAttempt struct {
	root            string
	grade           grade.Grade
	objectiveMillis float64
	deadlineMillis  float64
	ended           bool
	// slotMillis is the slot time spent on it.
	slotMillis float64
}

// call is a call from a node. An offer reaches a gate, which may refuse it; an
// attempt reaches a target.
type call struct {
	attempt        *callerAttempt
	from           *node
	step           step
	isCall         bool
	tried          map[string]bool
	offers         int
	targetAttempts int
	// running and waiting are the gate's load as of its response.
	running int
	waiting int
	done    func(outcome)
}

// call makes a call of the step at an instance of its service.
func (w *world) call(a *callerAttempt, from *node, s step, isCall bool, done func(outcome)) {
	c := &call{attempt: a, from: from, step: s, isCall: isCall, tried: make(map[string]bool), done: done}
	from.retryBudgets[s.service].Earn()
	c.send()
}

func (c *call) send() {
	w := c.from.world
	n := c.pickInstance()
	if n == nil {
		c.done(refused)
		return
	}
	c.offers++
	w.loop.After(hopMillis, func() {
		n.receive(c, func(o outcome) {
			c.running, c.waiting = n.queue.Load()
			w.loop.After(hopMillis, func() { c.handleResponse(n, o) })
		})
	})
}

// pickInstance selects an instance: the picker's selection, or a random one
// without control.
func (c *call) pickInstance() *node {
	w := c.from.world
	if !w.policy.gates {
		all := w.byService[c.step.service]
		return all[w.random.IntN(len(all))]
	}
	picked, ok := c.from.picker.Pick(services()[c.step.service].name, c.tried)
	if !ok {
		return nil
	}
	c.tried[picked.Peers] = true
	return w.byID[picked.Peers]
}

func (c *call) handleResponse(n *node, o outcome) {
	if c.from.world.policy.gates {
		c.from.picker.Done(n.id, o != lost && o != unreached)
		if o != unreached {
			// The load in a response is newer than that in the gate's card.
			c.from.picker.UpdateLoad(n.id, c.running, c.waiting, 0)
		}
	}
	if o != served && c.mayRetry(o) {
		c.send()
		return
	}
	c.done(o)
}

// mayRetry reports whether the call is offered to another instance, and charges
// a retry after an attempt to the budget.
func (c *call) mayRetry(o outcome) bool {
	w := c.from.world
	if !w.policy.gates || c.attempt.ended || w.loop.Now() >= c.attempt.deadlineMillis {
		return false
	}
	if o == refused || o == unreached {
		return c.offers < maxOffers
	}
	c.targetAttempts++
	if c.targetAttempts > 1 || o == failed {
		return false
	}
	return c.from.retryBudgets[c.step.service].Spend()
}

// job is a call at a target.
type job struct {
	node          *node
	incarnation   int64
	call          *call
	startedMillis float64
	reply         func(outcome)
}

// receive offers a call to the node's gate.
func (n *node) receive(c *call, reply func(outcome)) {
	w := n.world
	j := &job{node: n, incarnation: n.incarnation, call: c, reply: reply}
	if n.dead {
		// The connection was refused, so nothing ran.
		reply(unreached)
		return
	}
	if !w.policy.gates {
		n.target.offer(j)
		return
	}
	n.governor.RecordArrival(c.attempt.grade, c.attempt.root)
	startMillis := w.loop.Now()
	if w.policy.startDelayMillis != nil {
		startMillis += w.policy.startDelayMillis(c.attempt.objectiveMillis-startMillis, c.attempt.grade)
	}
	refusal, queued := n.queue.AcquireAsync(startMillis, c.attempt.deadlineMillis, func(refusal reason.Reason) {
		w.loop.After(0, func() { j.handleDecision(refusal) })
	})
	if !queued {
		j.handleDecision(refusal)
	}
}

// handleDecision starts or refuses the call once the queue has decided.
func (j *job) handleDecision(refusal reason.Reason) {
	switch {
	case j.isLost():
		j.reply(lost)
	case refusal != "":
		j.reply(refused)
	default:
		j.start()
	}
}

// isLost reports whether the instance that received the job was lost since.
func (j *job) isLost() bool { return j.incarnation != j.node.incarnation }

// start runs the call at the target.
func (j *job) start() {
	n, w := j.node, j.node.world
	j.startedMillis = w.loop.Now()
	if n.target.rejects() {
		j.finish(rejected)
		return
	}
	w.loop.After(n.target.runMillis(j.call.step.workMillis, j.startedMillis), func() { j.nextCall(0, 0) })
}

// nextCall makes child call i of the step, which was made callsMade times before.
func (j *job) nextCall(i, callsMade int) {
	a := j.call.attempt
	switch {
	case j.isLost():
		j.reply(lost)
		return
	case a.ended && j.node.world.policy.gates:
		// The caller no longer waits for the response.
		j.finish(failed)
		return
	case i == len(j.call.step.steps):
		j.finish(served)
		return
	case callsMade == j.call.step.steps[i].count:
		j.nextCall(i+1, 0)
		return
	}
	j.node.world.call(a, j.node, j.call.step.steps[i], true, func(o outcome) {
		if o != served && !j.isLost() {
			j.finish(failed)
			return
		}
		j.nextCall(i, callsMade+1)
	})
}

// finish releases the slot and sends the response.
func (j *job) finish(o outcome) {
	n, w := j.node, j.node.world
	slotMillis := w.loop.Now() - j.startedMillis
	j.call.attempt.slotMillis += slotMillis
	if w.policy.gates {
		n.target.running--
		n.recordRun(j.call, o, slotMillis)
	} else {
		n.target.release()
	}
	j.reply(o)
}

// recordRun records a run at the governor and releases its slot.
func (n *node) recordRun(c *call, o outcome, slotMillis float64) {
	if o == served {
		n.governor.RecordServed(c.attempt.root, c.isCall, slotMillis, slotMillis)
	} else {
		n.governor.RecordFailed(slotMillis)
	}
	n.queue.Release()
}
