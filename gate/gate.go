// Package gate admits requests to the slots of one target: it holds the short
// queue in front of them, measures how much the target can do, and works out
// the threshold by which entries refuse requests before work is spent on them.
package gate

import (
	"math"

	"bergamotloom.example/clock"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/ticket"
)

const (
	// windowMillis is how often the gate judges what it has measured.
	windowMillis = 100
	// leastQueue is how many requests may wait, however slow the target is.
	leastQueue = 4
	// childQueues is how many times longer the queue may be for calls of
	// requests that were admitted elsewhere: work was spent on them already.
	childQueues = 4
	// criticalQueues is the same for the critical rank.
	criticalQueues = 2
	// startPart is the part of the slots that a new target begins with.
	startPart = 0.25
	// retryAfterMillis is what a refused caller is told to wait.
	retryAfterMillis = 1000
	// tookShare is how far one request moves the known time in a slot.
	tookShare = 0.05
)

// Gate admits requests to one target. It doesn't lock: the node holds one
// mutex for it and its tickets.
type Gate struct {
	clock   clock.Clock
	slots   int
	leaving bool
	running int
	queue   line
	fair    shares
	limit   limiter
	meter   meter
	plan    plan
	// took and tookSpread are the mean time in a slot and its mean deviation,
	// in milliseconds.
	took       float64
	tookSpread float64
	// queueMillis is the longest wait that the queue is made for.
	queueMillis float64
}

// New returns the gate of a target with so many slots. The queue holds what
// the target can start within queueMillis; 0 takes the default. Under overload
// teams get their parts within each rank, or with teamsFirst within all ranks
// below the critical one together.
func New(c clock.Clock, slots int, queueMillis float64, teamsFirst bool) *Gate {
	if queueMillis <= 0 {
		queueMillis = defaultQueueMillis
	}
	return &Gate{
		clock:       c,
		slots:       slots,
		queue:       newLine(slots),
		fair:        newShares(),
		limit:       newLimiter(slots),
		meter:       newMeter(c.Fine()),
		plan:        newPlan(teamsFirst),
		queueMillis: queueMillis,
	}
}

const defaultQueueMillis = 50

// Arrive takes a new ticket. Afterwards the ticket is started, queued or
// refused; a queued one is settled later through its callback.
func (g *Gate) Arrive(t *ticket.Ticket) {
	now := g.clock.Fine()
	g.judge(now)
	t.ArrivedMillis = now
	if g.leaving {
		t.Refuse(refuse.New(reason.Leaving))
		return
	}
	g.fair.arrived(t)
	if g.tooLate(t, now) {
		t.Refuse(refuse.New(reason.DeadlineExceeded))
		return
	}
	if g.running < g.limit.current() && g.queue.len() == 0 {
		g.start(t, now)
		return
	}
	g.enqueue(t, now)
}

// Finish takes the end of a started ticket and frees its slot. The target
// waited childMillis of the time for its own calls. It starts queued tickets.
func (g *Gate) Finish(t *ticket.Ticket, ok bool, childMillis float64) {
	if !t.Started() {
		return
	}
	now := g.clock.Fine()
	took := now - t.StartedMillis
	t.End()
	inFull := g.running >= g.limit.current()
	g.meter.moved(now, g.running)
	g.running--
	g.meter.ended++
	g.learnTook(took)
	if ok {
		g.limit.ended(took-childMillis, inFull)
	}
	g.judge(now)
	g.drain(now)
}

// Cancel takes a ticket whose caller went away or whose time ran out. A queued
// one is forgotten without a callback; a started one frees its slot, as
// targets stop work that is cancelled.
func (g *Gate) Cancel(t *ticket.Ticket) {
	now := g.clock.Fine()
	switch {
	case t.Queued():
		g.queue.remove(t)
		g.fair.left(t)
		t.End()
	case t.Started():
		g.meter.moved(now, g.running)
		g.running--
		t.End()
		g.drain(now)
	}
}

// Tick refuses queued tickets that can't be answered in time any more, and
// judges the measurements. The node calls it every few milliseconds.
func (g *Gate) Tick() {
	now := g.clock.Fine()
	g.judge(now)
	for i := g.queue.len() - 1; i >= 0; i-- {
		t := g.queue.at(min(i, g.queue.len()-1))
		if g.tooLate(t, now) {
			g.dismiss(t, refuse.New(reason.DeadlineExceeded))
		}
	}
	g.drain(now)
}

// SetSlots takes the number of slots that the target announces.
func (g *Gate) SetSlots(n int) {
	if n == g.slots || n <= 0 {
		return
	}
	g.slots = n
	g.limit.resize(n)
	g.drain(g.clock.Fine())
}

// SetLeaving refuses all new work from now on, queued tickets included. What
// runs goes on.
func (g *Gate) SetLeaving() {
	g.leaving = true
	for g.queue.len() > 0 {
		g.dismiss(g.queue.at(0), refuse.New(reason.Leaving))
	}
}

// Running returns the number of requests in slots.
func (g *Gate) Running() int { return g.running }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return g.queue.len() }

// Limit returns how many requests the gate lets run at once now.
func (g *Gate) Limit() int { return g.limit.current() }

// Threshold returns the level up to which entries should let new requests of
// the least restricted team pass. It goes back on each answer, with the level
// of the request's own team.
func (g *Gate) Threshold() level.Level { return g.plan.threshold }

// TeamLevel returns the level up to which entries should let new requests of
// the team pass, at most the threshold.
func (g *Gate) TeamLevel(team string) level.Level {
	return min(g.fair.level(team), g.plan.threshold)
}

func (g *Gate) start(t *ticket.Ticket, now float64) {
	g.meter.moved(now, g.running)
	g.running++
	g.fair.started(t)
	t.Start(now)
}

func (g *Gate) enqueue(t *ticket.Ticket, now float64) {
	if g.queue.len() >= g.room(t) && !g.makeRoom(t) {
		t.Refuse(overloaded())
		return
	}
	g.fair.queued(t)
	g.queue.push(t)
	g.drain(now)
}

// room returns how many requests may wait for t to be queued behind them.
func (g *Gate) room(t *ticket.Ticket) int {
	wait := g.queueMillis
	if t.Child {
		wait *= childQueues
	}
	if t.Rank == rank.Critical {
		wait *= criticalQueues
	}
	return g.roomFor(wait)
}

// roomFor returns how many requests start within the milliseconds.
func (g *Gate) roomFor(wait float64) int {
	if g.took <= 0 {
		return leastQueue
	}
	return max(int(float64(g.limit.current())*wait/g.took), leastQueue)
}

// makeRoom refuses the queued ticket that matters least, if t goes before it.
func (g *Gate) makeRoom(t *ticket.Ticket) bool {
	worst := g.queue.worst()
	if worst == nil || !before(t, g.fair.nextTag(t), worst) {
		return false
	}
	g.dismiss(worst, overloaded())
	return true
}

func (g *Gate) dismiss(t *ticket.Ticket, r refuse.Refusal) {
	g.queue.remove(t)
	g.fair.left(t)
	t.Refuse(r)
}

// drain starts queued tickets while there are slots.
func (g *Gate) drain(now float64) {
	for g.running < g.limit.current() && g.queue.len() > 0 {
		t := g.queue.pop()
		g.fair.left(t)
		if g.tooLate(t, now) {
			t.Refuse(refuse.New(reason.DeadlineExceeded))
			continue
		}
		g.start(t, now)
	}
}

// tooLate tells whether the target isn't expected to answer before the
// deadline. While other requests wait for the slot, most of the usual times
// must fit in, or half of them for a critical request; otherwise a short one
// is enough.
func (g *Gate) tooLate(t *ticket.Ticket, now float64) bool {
	need := g.took + g.tookSpread
	switch {
	case g.queue.len() == 0:
		need = max(g.took-2*g.tookSpread, 0)
	case t.Rank == rank.Critical:
		need = g.took
	}
	return now+need > float64(t.DeadlineMillis)
}

func (g *Gate) learnTook(millis float64) {
	if g.took == 0 {
		g.took = millis
		return
	}
	g.took += (millis - g.took) * tookShare
	g.tookSpread += (math.Abs(millis-g.took) - g.tookSpread) * tookShare
}

// judge closes the window when it's over.
func (g *Gate) judge(now float64) {
	if now-g.meter.since < windowMillis {
		return
	}
	g.meter.moved(now, g.running)
	g.limit.judge(g.meter.busy(g.limit.current()))
	g.plan.judge(&g.meter, &g.fair, g.limit.hoped(), g.running+g.queue.len(), g.roomFor(g.queueMillis))
	g.meter.reset(now)
}

func overloaded() refuse.Refusal {
	return refuse.New(reason.Overloaded).WithRetryAfter(retryAfterMillis)
}

// class orders tickets in the queue: the critical rank first, then what was
// admitted elsewhere, then new work, each by rank.
func class(t *ticket.Ticket) int {
	c := 2 * int(t.Rank)
	if t.Rank != rank.Critical && !t.Child {
		c += 2 * rank.Count
	}
	if t.Rank == rank.Critical && !t.Child {
		c++
	}
	return c
}
