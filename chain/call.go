package chain

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/reason"
)

// outcome is what became of a call.
type outcome int

const (
	served outcome = iota
	// refused calls never ran, nor did those that reached no node; rejected ones
	// reached a target that didn't run them.
	refused
	unreached
	rejected
	failed
	lost
)

// try is one caller's request on its way through the fleet.
type try struct {
	root  string
	grade grade.Grade
	goal  float64
	due   float64
	ended bool
	// took is the slot time spent on it.
	took float64
}

// call is one call from a node, with its offers and repeats.
type call struct {
	try    *try
	from   *node
	step   step
	inner  bool
	tried  map[string]bool
	offers int
	sends  int
	// running and waiting are the load that the gate told with its answer.
	running int
	waiting int
	done    func(outcome)
}

// call sends one run of the step to an instance of its service.
func (w *world) call(t *try, from *node, s step, inner bool, done func(outcome)) {
	c := &call{try: t, from: from, step: s, inner: inner, tried: make(map[string]bool), done: done}
	from.repeats[s.service].Earn()
	c.send()
}

func (c *call) send() {
	w := c.from.world
	n := c.pick()
	if n == nil {
		c.done(refused)
		return
	}
	c.offers++
	w.loop.After(hopMillis, func() {
		n.receive(c, func(o outcome) {
			c.running, c.waiting = n.queue.Load()
			w.loop.After(hopMillis, func() { c.answered(n, o) })
		})
	})
}

// pick returns the instance to ask: the picker's choice, or a random one
// without control.
func (c *call) pick() *node {
	w := c.from.world
	if !w.policy.gates {
		all := w.byService[c.step.service]
		return all[w.random.IntN(len(all))]
	}
	told, ok := c.from.picker.Pick(services()[c.step.service].name, c.tried)
	if !ok {
		return nil
	}
	c.tried[told.Peers] = true
	return w.byID[told.Peers]
}

func (c *call) answered(n *node, o outcome) {
	if c.from.world.policy.gates {
		c.from.picker.Done(n.id, o != lost && o != unreached)
		if o != unreached {
			// Answers tell the gate's load, which is newer than its card's.
			c.from.picker.UpdateLoad(n.id, c.running, c.waiting)
		}
	}
	if o != served && c.again(o) {
		c.send()
		return
	}
	c.done(o)
}

// again tells whether the call is offered to one more instance.
func (c *call) again(o outcome) bool {
	w := c.from.world
	if !w.policy.gates || c.try.ended || w.loop.Now() >= c.try.due {
		return false
	}
	if o == refused || o == unreached {
		return c.offers < offers
	}
	c.sends++
	if c.sends > 1 || o == failed {
		return false
	}
	return c.from.repeats[c.step.service].Spend()
}

// job is one call at a target.
type job struct {
	node  *node
	life  int64
	call  *call
	began float64
	reply func(outcome)
}

// receive takes a call at the gate.
func (n *node) receive(c *call, reply func(outcome)) {
	w := n.world
	j := &job{node: n, life: n.life, call: c, reply: reply}
	if n.dead {
		// Its connection is refused, so nothing ran.
		reply(unreached)
		return
	}
	if !w.policy.gates {
		n.target.take(j)
		return
	}
	n.governor.RecordArrival(c.try.grade, c.try.root)
	order := w.loop.Now()
	if w.policy.order != nil {
		order += w.policy.order(c.try.goal-order, c.try.grade)
	}
	why, waits := n.queue.AcquireAsync(order, c.try.due, func(why reason.Reason) {
		w.loop.After(0, func() { j.settled(why) })
	})
	if !waits {
		j.settled(why)
	}
}

// settled goes on once the queue has decided.
func (j *job) settled(why reason.Reason) {
	switch {
	case j.gone():
		j.reply(lost)
	case why != "":
		j.reply(refused)
	default:
		j.begin()
	}
}

// gone tells whether the instance that the job began at is there no more.
func (j *job) gone() bool { return j.life != j.node.life }

// begin runs the call at the target.
func (j *job) begin() {
	n, w := j.node, j.node.world
	j.began = w.loop.Now()
	if n.target.rejects() {
		j.end(rejected)
		return
	}
	w.loop.After(n.target.millis(j.call.step.work, j.began), func() { j.next(0, 0) })
}

// next makes the call number i of the step, after made calls of it.
func (j *job) next(i, made int) {
	t := j.call.try
	switch {
	case j.gone():
		j.reply(lost)
		return
	case t.ended && j.node.world.policy.gates:
		// Nobody waits for it any more.
		j.end(failed)
		return
	case i == len(j.call.step.steps):
		j.end(served)
		return
	case made == j.call.step.steps[i].times:
		j.next(i+1, 0)
		return
	}
	j.node.world.call(t, j.node, j.call.step.steps[i], true, func(o outcome) {
		if o != served && !j.gone() {
			j.end(failed)
			return
		}
		j.next(i, made+1)
	})
}

// end frees the slot and answers.
func (j *job) end(o outcome) {
	n, w := j.node, j.node.world
	took := w.loop.Now() - j.began
	j.call.try.took += took
	if w.policy.gates {
		n.target.running--
		n.ended(j.call, o, took)
	} else {
		n.target.free()
	}
	j.reply(o)
}

// ended lets the node learn from a run.
func (n *node) ended(c *call, o outcome, took float64) {
	if o == served {
		n.governor.RecordServed(c.try.root, c.inner, took)
	} else {
		n.governor.RecordFailed(took)
	}
	n.queue.Release()
}
