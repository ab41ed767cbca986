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
	d := w.demandAt(now)
	w.loop.After(w.random.ExpFloat64()/d.total*millisPerSecond, w.arrive)
	e := &errand{path: w.drawPath(), team: d.draw(w.random.Float64()), sentAt: now}
	w.tally.asked(e)
	w.try(e)
}

const millisPerSecond = 1000

// demand is what the teams send, in requests a second.
type demand struct {
	teams []float64
	total float64
}

// draw returns the team of a request, by a number drawn evenly from 0 to 1.
func (d *demand) draw(x float64) int {
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
	if w.scene.during(now) {
		return &w.rush
	}
	return &w.calm
}

// hogTeam is the team that sends many times its rate.
const hogTeam = 3

// usualDemand and causeDemand return what the teams send outside of the cause
// and while it lasts.
func (z size) usualDemand() demand {
	return z.demand(usualPart)
}

func (z size) causeDemand(s *scene) demand {
	if s.demand > 0 {
		return z.demand(s.demand)
	}
	d := z.demand(usualPart)
	if s.hog > 0 {
		d.total -= d.teams[hogTeam]
		d.teams[hogTeam] = s.hog * z.rate(hogTeam)
		d.total += d.teams[hogTeam]
	}
	return d
}

// demand returns the demand at a part of the capacity.
func (z size) demand(part float64) demand {
	var d demand
	for _, t := range z.teams {
		d.teams = append(d.teams, t.part*part*z.usual())
		d.total += t.part * part * z.usual()
	}
	return d
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
	n := w.drawEntry()
	w.loop.After(w.size.clientMillis, func() {
		n.enter(o, func(a answer) {
			w.loop.After(w.size.clientMillis, func() { settle(a.ok, a.ran == runst.Never) })
		})
		if o.entered {
			w.loop.After(o.deadline-w.loop.Now(), func() { settle(false, false) })
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
	o.entered = true
	w.tally.entered()
	w.call(o, 0, n, allowed, func(a answer) {
		n.entries.Return(a.rest.Left())
		n.filter.RecordResponse(p.name, team, a.chain.Service, a.chain.Threshold, a.chain.TeamLevel)
		done(a)
	})
}

// passes decides on a new request by what answers told.
func (n *node) passes(o *order, p path, team string) bool {
	share, ok := n.filter.Admits(p.name, team, p.rank, n.world.random.Float64())
	o.passed = share
	if !ok {
		return false
	}
	return !n.chooser.Refuses(n.world.size.services[0].name, p.rank)
}
