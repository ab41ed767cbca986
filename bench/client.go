package bench

import (
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
)

// aggressiveRetryDelayMillis is the delay of a client with aggressive retries.
const aggressiveRetryDelayMillis = 10

// clientRequest is a request as its client sees it, with its retries.
type clientRequest struct {
	route      int
	team       int
	sentMillis float64
	retries    int
	// refused says that an attempt was refused before it ran.
	refused bool
}

// arrive sends a client's request and schedules the next arrival.
func (w *world) arrive() {
	now := w.loop.Now()
	d := w.demandAt(now)
	w.loop.After(w.random.ExpFloat64()/d.total*millisPerSecond, w.arrive)
	cr := &clientRequest{route: w.drawRoute(), team: d.drawTeam(w.random.Float64()), sentMillis: now}
	w.tally.recordRequest(cr)
	w.sendAttempt(cr)
}

const millisPerSecond = 1000

// demand is the rate at which each team sends, in requests a second.
type demand struct {
	teams []float64
	total float64
}

// drawTeam returns the team of a request, given a uniform random number from 0
// to 1.
func (d *demand) drawTeam(x float64) int {
	x *= d.total
	for i, v := range d.teams {
		x -= v
		if x < 0 {
			return i
		}
	}
	return 0
}

func (w *world) demandAt(now float64) *demand {
	if w.scenario.isDisturbed(now) {
		return &w.disturbedDemand
	}
	return &w.usualDemand
}

// overRateTeam is the index of the team that sends many times its rate.
const overRateTeam = 3

// usualDemand returns the demand before and after the disturbance.
func (z deployment) usualDemand() demand {
	return z.demand(usualFraction)
}

// disturbedDemand returns the demand during the disturbance.
func (z deployment) disturbedDemand(s *scenario) demand {
	if s.demandFactor > 0 {
		return z.demand(s.demandFactor)
	}
	d := z.demand(usualFraction)
	if s.overRateFactor > 0 {
		d.total -= d.teams[overRateTeam]
		d.teams[overRateTeam] = s.overRateFactor * z.rate(overRateTeam)
		d.total += d.teams[overRateTeam]
	}
	return d
}

// demand returns the demand at a fraction of the capacity.
func (z deployment) demand(fraction float64) demand {
	var d demand
	for _, t := range z.teams {
		d.teams = append(d.teams, t.fraction*fraction*z.fullCapacity())
		d.total += t.fraction * fraction * z.fullCapacity()
	}
	return d
}

func (w *world) drawRoute() int {
	x := w.random.Float64()
	for i, p := range w.deployment.routes {
		x -= p.fraction
		if x < 0 {
			return i
		}
	}
	return len(w.deployment.routes) - 1
}

// sendAttempt sends the request to a random live node.
func (w *world) sendAttempt(cr *clientRequest) {
	attempt := &clientAttempt{route: cr.route, team: cr.team, admittedFraction: 1}
	attempt.deadlineMillis = w.loop.Now() + w.deployment.routes[cr.route].timeoutMillis
	w.tally.clientAttempts = append(w.tally.clientAttempts, attempt)
	handled := false
	finish := func(ok, refused bool) {
		if handled {
			return
		}
		handled = true
		w.handleResult(cr, attempt, ok, refused)
	}
	n := w.drawEntry()
	w.loop.After(w.deployment.clientDelayMillis, func() {
		n.enter(attempt, func(resp response) {
			w.loop.After(w.deployment.clientDelayMillis, func() { finish(resp.ok, resp.ran == runst.Never) })
		})
		if attempt.entered {
			w.loop.After(attempt.deadlineMillis-w.loop.Now(), func() { finish(false, false) })
		}
	})
}

func (w *world) drawEntry() *node {
	for {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if !n.dead {
			return n
		}
	}
}

// handleResult retries a failed request or ends it, as the client sees it.
func (w *world) handleResult(cr *clientRequest, attempt *clientAttempt, ok, refused bool) {
	if ok {
		attempt.served = true
		w.tally.recordServed(cr)
		return
	}
	cr.refused = cr.refused || refused
	if w.scenario.aggressiveRetries && cr.retries < maxAggressiveRetries {
		cr.retries++
		w.loop.After(aggressiveRetryDelayMillis, func() { w.sendAttempt(cr) })
		return
	}
	w.tally.recordFailed(cr)
}

// enter receives a client's attempt at the entry.
func (n *node) enter(attempt *clientAttempt, done func(response)) {
	w := n.world
	p, team := w.deployment.routes[attempt.route], w.deployment.teams[attempt.team].name
	if w.policy.earlyRefusal && !n.admits(attempt, p, team) {
		w.tally.recordRefused(0, attempt)
		done(response{ran: runst.Never})
		return
	}
	allowance := retry.New(0)
	if w.policy.retryBudget {
		n.entryBudget.Earn()
		allowance = retry.New(n.entryBudget.Grant(1))
	}
	attempt.entered = true
	w.tally.recordEntry()
	w.call(attempt, 0, n, allowance, func(resp response) {
		n.entryBudget.Return(resp.unusedAllowance.Left())
		n.filter.RecordResponse(p.name, team, resp.chain.Service, resp.chain.Threshold, resp.chain.TeamLevel)
		done(resp)
	})
}

// admits decides on a new request by the levels in earlier responses.
func (n *node) admits(attempt *clientAttempt, p route, team string) bool {
	fraction, ok := n.filter.Admits(p.name, team, p.rank, n.world.random.Float64())
	attempt.admittedFraction = fraction
	if !ok {
		return false
	}
	return !n.chooser.Refuses(n.world.deployment.services[0].name, p.rank)
}
