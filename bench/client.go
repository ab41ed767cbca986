package bench

import (
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
)

// hardPauseMillis is how long a client that retries hard waits.
const hardPauseMillis = 10

// errand is what a client wants: one request with its resends.
type errand struct {
	path    int
	team    int
	sentAt  float64
	resends int
	// refused says that the first attempt was refused before it ran.
	refused bool
}

// arrive makes one client request and the next arrival.
func (w *world) arrive() {
	now := w.loop.Now()
	team, total := w.drawTeam(now)
	w.loop.After(w.random.ExpFloat64()/total*millisPerSecond, w.arrive)
	e := &errand{path: w.drawPath(), team: team, sentAt: now}
	w.tally.asked(e)
	w.try(e)
}

const millisPerSecond = 1000

// drawTeam returns the team of the next request and the total demand, in
// requests a second.
func (w *world) drawTeam(now float64) (int, float64) {
	total := 0.0
	for i := range w.size.teams {
		total += w.demand(i, now)
	}
	x := w.random.Float64() * total
	for i := range w.size.teams {
		x -= w.demand(i, now)
		if x < 0 {
			return i, total
		}
	}
	return 0, total
}

// hogTeam is the team that sends many times its rate.
const hogTeam = 3

// demand returns what a team sends now, in requests a second.
func (w *world) demand(team int, now float64) float64 {
	part := usualPart
	if w.scene.during(now) {
		if w.scene.demand > 0 {
			part = w.scene.demand
		}
		if w.scene.hog > 0 && team == hogTeam {
			part = w.scene.hog * ratesPart
		}
	}
	return w.size.teams[team].part * part * w.usual
}

func (w *world) drawPath() int {
	x := w.random.Float64()
	for i, p := range w.size.paths {
		x -= p.part
		if x < 0 {
			return i
		}
	}
	return len(w.size.paths) - 1
}

// try sends one attempt to a live node.
func (w *world) try(e *errand) {
	o := &order{path: e.path, team: e.team, passed: 1}
	o.deadline = w.loop.Now() + w.size.paths[e.path].timeout
	w.tally.orders = append(w.tally.orders, o)
	settled := false
	settle := func(ok, refused bool) {
		if settled {
			return
		}
		settled = true
		w.settle(e, o, ok, refused)
	}
	w.loop.After(w.size.paths[e.path].timeout, func() { settle(false, false) })
	n := w.drawEntry()
	w.loop.After(w.size.clientMillis, func() {
		n.enter(o, func(a answer) {
			w.loop.After(w.size.clientMillis, func() { settle(a.ok, a.ran == runst.Never) })
		})
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

// settle takes the end of an attempt as the client sees it.
func (w *world) settle(e *errand, o *order, ok, refused bool) {
	if ok {
		o.good = true
		w.tally.served(e)
		return
	}
	e.refused = e.refused || refused
	if w.scene.hard && e.resends < hardResends {
		e.resends++
		w.loop.After(hardPauseMillis, func() { w.try(e) })
		return
	}
	w.tally.failed(e)
}

// enter takes a client's attempt at the entry.
func (n *node) enter(o *order, done func(answer)) {
	w := n.world
	p, team := w.size.paths[o.path], w.size.teams[o.team].name
	if w.policy.early && !n.passes(o, p, team) {
		w.tally.refusedAt(0, o)
		done(answer{ran: runst.Never})
		return
	}
	allowed := retry.New(0)
	if w.policy.budget {
		n.entries.Earn()
		allowed = retry.New(n.entries.Grant(1))
	}
	w.tally.entered()
	w.call(o, 0, n, allowed, func(a answer) {
		n.entries.Return(a.rest.Left())
		n.filter.Learn(p.name, team, a.chain.service, a.chain.threshold, a.chain.team)
		done(a)
	})
}

// passes decides on a new request by what answers told.
func (n *node) passes(o *order, p path, team string) bool {
	share, ok := n.filter.Passes(p.name, team, p.rank, n.world.random.Float64())
	o.passed = share
	if !ok {
		return false
	}
	return !n.chooser.Refuses(n.world.size.services[0].name, p.rank)
}
