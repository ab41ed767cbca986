package chain

import (
	"bergamotloom.example/delay"
	"bergamotloom.example/reason"
)

const (
	// waitPart of the time left is the most that a refused caller waits.
	waitPart = 1.0 / 3
	// hastyMillis is how long a hasty caller waits.
	hastyMillis = 10
	// mostTries is how often a caller sends a request.
	mostTries = 2
)

// errand is what a caller wants.
type errand struct {
	kind     int
	sentAt   float64
	deadline float64
	tries    int
	refusals int
	ended    bool
}

// arrive makes a caller's request of the kind and its next one.
func (w *world) arrive(i int) {
	rate := w.kinds[i].perS
	if w.pattern.during(w.loop.Now()) {
		rate *= w.pattern.demand
	}
	w.loop.After(w.random.ExpFloat64()/rate*millisPerSecond, func() {
		now := w.loop.Now()
		e := &errand{kind: i, sentAt: now, deadline: now + w.kinds[i].timeout}
		w.loop.After(w.kinds[i].timeout, func() { w.giveUp(e) })
		w.try(e)
		w.arrive(i)
	})
}

func (w *world) try(e *errand) {
	e.tries++
	w.loop.After(clientMillis, func() {
		n := w.entry()
		n.enter(e, func(o outcome, retryAfter float64) {
			w.loop.After(clientMillis, func() { w.settle(e, o, retryAfter) })
		})
	})
}

// settle takes the end of a try as the caller sees it.
func (w *world) settle(e *errand, o outcome, retryAfter float64) {
	now := w.loop.Now()
	if e.ended {
		return
	}
	if o == refused {
		e.refusals++
	}
	wait := min(retryAfter, (e.deadline-now)*waitPart)
	if o != refused || w.pattern.hasty {
		wait = hastyMillis
	}
	if o == served || e.tries >= mostTries || now+wait >= e.deadline {
		e.ended = true
		w.tally.ended(e, w.kinds[e.kind], o, now)
		return
	}
	w.loop.After(wait, func() {
		if !e.ended {
			w.try(e)
		}
	})
}

// giveUp ends a request whose caller has waited long enough.
func (w *world) giveUp(e *errand) {
	if !e.ended {
		e.ended = true
		w.tally.ended(e, w.kinds[e.kind], failed, w.loop.Now())
	}
}

// retryAfter is what the node tells a refused caller.
func (w *world) retryAfter(e *errand) float64 {
	now := w.loop.Now()
	goal := w.kinds[e.kind].goal - (now - e.sentAt)
	return delay.Millis(reason.Overloaded, e.deadline-now, goal, w.random.Float64())
}
