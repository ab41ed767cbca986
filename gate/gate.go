// Package gate admits requests to the slots of one target: it holds the short
// queue in front of them, measures the capacity of the target, and computes the
// threshold by which entries refuse requests before work is spent on them. A
// threshold is a level.Level; the level of a team is its own threshold.
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
	// windowMillis is how often the limit and the thresholds are updated.
	windowMillis = 100
	// minQueueLength is how many requests may wait, however slow the target is.
	minQueueLength = 4
	// childQueueFactor is how many times longer the queue may be for calls of
	// requests that were admitted elsewhere: work was spent on them already.
	childQueueFactor = 4
	// criticalQueueFactor is the same for the critical rank.
	criticalQueueFactor = 2
	// initialLimitFraction is the limit of a new target, relative to its slots.
	initialLimitFraction = 0.25
	// retryAfterMillis is the wait that a refusal asks of the caller.
	retryAfterMillis = 1000
	// runTimeSmoothingFactor is the weight of one request in the EWMAs of
	// the run time.
	runTimeSmoothingFactor = 0.05
	defaultQueueMillis     = 50
)

// Gate admits requests to one target. It doesn't lock: the node holds one
// mutex for it and its tickets.
type Gate struct {
	clock   clock.Clock
	slots   int
	leaving bool
	running int
	queue   ticketQueue
	teams   teamTable
	limit   limiter
	meter   meter
	plan    plan
	// runMillis and runDeviationMillis are EWMAs of the time in a slot and of
	// its absolute deviation.
	runMillis          float64
	runDeviationMillis float64
	// queueMillis is the queueing delay that the queue is sized for. It doesn't
	// limit the wait of a single request.
	queueMillis float64
}

// New returns the gate of a target with this number of slots. The queue holds
// what the target can start within queueMillis; 0 takes the default of 50 ms.
// Under overload the capacity is divided by rank, and within a rank among teams.
// With teamsFirst the normal and sheddable ranks are divided among teams
// together, and rank only counts within a team.
func New(c clock.Clock, slots int, queueMillis float64, teamsFirst bool) *Gate {
	if queueMillis <= 0 {
		queueMillis = defaultQueueMillis
	}
	return &Gate{
		clock:       c,
		slots:       slots,
		queue:       newTicketQueue(slots),
		teams:       newTeamTable(),
		limit:       newLimiter(slots),
		meter:       newMeter(c.Fine()),
		plan:        newPlan(teamsFirst),
		queueMillis: queueMillis,
	}
}

// Arrive takes a new ticket. Afterwards the ticket is started, queued or
// refused; OnSettled reports later whether a queued one is started or refused.
func (g *Gate) Arrive(t *ticket.Ticket) {
	now := g.clock.Fine()
	g.closeWindow(now)
	t.ArrivedMillis = now
	if g.leaving {
		t.Refuse(refuse.New(reason.Leaving))
		return
	}
	g.teams.arrived(t)
	if g.missesDeadline(t, now) {
		t.Refuse(refuse.New(reason.DeadlineExceeded))
		return
	}
	if g.running < g.limit.current() && g.queue.len() == 0 {
		g.start(t, now)
		return
	}
	g.enqueue(t, now)
}

// Finish ends a started ticket, frees its slot and starts queued tickets. The
// target waited childMillis of the time for its own calls; succeeded reports
// whether the response was complete. Only the run times of requests that
// succeeded are used to adjust the limit.
func (g *Gate) Finish(t *ticket.Ticket, succeeded bool, childMillis float64) {
	if !t.Started() {
		return
	}
	now := g.clock.Fine()
	runMillis := now - t.StartedMillis
	t.End()
	atLimit := g.running >= g.limit.current()
	g.meter.accountUntil(now, g.running)
	g.running--
	g.meter.ended++
	g.updateRunTime(runMillis)
	if succeeded {
		g.limit.requestEnded(runMillis-childMillis, atLimit)
	}
	g.closeWindow(now)
	g.startQueued(now)
}

// Cancel ends a ticket whose request was cancelled or whose deadline has passed. A
// queued one is removed without a callback; a started one frees its slot at
// once, as targets are expected to stop cancelled work.
func (g *Gate) Cancel(t *ticket.Ticket) {
	now := g.clock.Fine()
	switch {
	case t.Queued():
		g.queue.remove(t)
		g.teams.dequeued(t)
		t.End()
	case t.Started():
		g.meter.accountUntil(now, g.running)
		g.running--
		t.End()
		g.startQueued(now)
	}
}

// Tick refuses queued tickets that can't be served before their deadline any
// more, and updates the limit and the thresholds when they are due. The node
// calls it every few milliseconds.
func (g *Gate) Tick() {
	now := g.clock.Fine()
	g.closeWindow(now)
	for i := g.queue.len() - 1; i >= 0; i-- {
		t := g.queue.at(min(i, g.queue.len()-1))
		if g.missesDeadline(t, now) {
			g.refuseQueued(t, refuse.New(reason.DeadlineExceeded))
		}
	}
	g.startQueued(now)
}

// SetSlots sets the number of slots that the target announces. Numbers below 1
// are ignored.
func (g *Gate) SetSlots(n int) {
	if n == g.slots || n <= 0 {
		return
	}
	g.slots = n
	g.limit.setSlots(n)
	g.startQueued(g.clock.Fine())
}

// SetLeaving refuses all new work from now on, queued tickets included. Running
// requests go on.
func (g *Gate) SetLeaving() {
	g.leaving = true
	for g.queue.len() > 0 {
		g.refuseQueued(g.queue.at(0), refuse.New(reason.Leaving))
	}
}

// Running returns the number of requests in slots.
func (g *Gate) Running() int { return g.running }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return g.queue.len() }

// Limit returns how many requests may run at once now.
func (g *Gate) Limit() int { return g.limit.current() }

// Threshold returns the level up to which entries should admit new requests of
// the least restricted team. It goes back with each response, together with the
// level of the request's own team.
func (g *Gate) Threshold() level.Level { return g.plan.threshold }

// TeamLevel returns the level up to which entries should admit new requests of
// the team, at most the threshold.
func (g *Gate) TeamLevel(team string) level.Level {
	return min(g.teams.level(team), g.plan.threshold)
}

func (g *Gate) start(t *ticket.Ticket, now float64) {
	g.meter.accountUntil(now, g.running)
	g.running++
	g.teams.started(t)
	t.Start(now)
}

func (g *Gate) enqueue(t *ticket.Ticket, now float64) {
	if g.queue.len() >= g.maxQueueFor(t) && !g.evictFor(t) {
		t.Refuse(overloaded())
		return
	}
	g.teams.enqueued(t)
	g.queue.push(t)
	g.startQueued(now)
}

// maxQueueFor returns how many requests may wait when t is to be queued.
func (g *Gate) maxQueueFor(t *ticket.Ticket) int {
	delayMillis := g.queueMillis
	if t.Child {
		delayMillis *= childQueueFactor
	}
	if t.Rank == rank.Critical {
		delayMillis *= criticalQueueFactor
	}
	return g.queueLength(delayMillis)
}

// queueLength returns how many requests start within the queueing delay, at
// least minQueueLength.
func (g *Gate) queueLength(delayMillis float64) int {
	if g.runMillis <= 0 {
		return minQueueLength
	}
	return max(int(float64(g.limit.current())*delayMillis/g.runMillis), minQueueLength)
}

// evictFor refuses the last ticket of the queue, if t precedes it.
func (g *Gate) evictFor(t *ticket.Ticket) bool {
	last := g.queue.last()
	if last == nil || !precedes(t, g.teams.nextFinishTag(t), last) {
		return false
	}
	g.refuseQueued(last, overloaded())
	return true
}

func (g *Gate) refuseQueued(t *ticket.Ticket, r refuse.Refusal) {
	g.queue.remove(t)
	g.teams.dequeued(t)
	t.Refuse(r)
}

// startQueued starts queued tickets while there are slots.
func (g *Gate) startQueued(now float64) {
	for g.running < g.limit.current() && g.queue.len() > 0 {
		t := g.queue.pop()
		g.teams.dequeued(t)
		if g.missesDeadline(t, now) {
			t.Refuse(refuse.New(reason.DeadlineExceeded))
			continue
		}
		g.start(t, now)
	}
}

// missesDeadline reports whether the target isn't expected to finish before the
// deadline. With requests queued, the time left must cover most of the usual
// run times: the mean plus its deviation, or just the mean for a critical
// request. With an empty queue it must cover the mean minus two deviations.
func (g *Gate) missesDeadline(t *ticket.Ticket, now float64) bool {
	neededMillis := g.runMillis + g.runDeviationMillis
	switch {
	case g.queue.len() == 0:
		neededMillis = max(g.runMillis-2*g.runDeviationMillis, 0)
	case t.Rank == rank.Critical:
		neededMillis = g.runMillis
	}
	return now+neededMillis > float64(t.DeadlineMillis)
}

func (g *Gate) updateRunTime(millis float64) {
	if g.runMillis == 0 {
		g.runMillis = millis
		return
	}
	g.runMillis += (millis - g.runMillis) * runTimeSmoothingFactor
	g.runDeviationMillis += (math.Abs(millis-g.runMillis) - g.runDeviationMillis) * runTimeSmoothingFactor
}

// closeWindow updates the limit and the thresholds when the window is over.
func (g *Gate) closeWindow(now float64) {
	if now-g.meter.startMillis < windowMillis {
		return
	}
	g.meter.accountUntil(now, g.running)
	g.limit.evaluate(g.meter.utilization(g.limit.current()))
	g.plan.update(&g.meter, &g.teams, g.limit.planned(), g.running+g.queue.len(), g.queueLength(g.queueMillis))
	g.meter.reset(now)
}

func overloaded() refuse.Refusal {
	return refuse.New(reason.Overloaded).WithRetryAfter(retryAfterMillis)
}

// queueClass returns the start order, lowest first: critical child calls,
// critical new work, other child calls by rank, other new work by rank.
func queueClass(t *ticket.Ticket) int {
	class := 2 * int(t.Rank)
	if t.Rank != rank.Critical && !t.Child {
		class += 2 * rank.Count
	}
	if t.Rank == rank.Critical && !t.Child {
		class++
	}
	return class
}
