package chain

import (
	"bergamotloom.example/delay"
	"bergamotloom.example/reason"
)

const (
	// maxDelayFraction of the remaining time is the longest that a refused caller
	// waits.
	maxDelayFraction = 1.0 / 3
	// shortDelayMillis is the delay of a caller that ignores the delay asked for, and
	// of any caller after a failure.
	shortDelayMillis = 10
	// maxAttempts is how many times a caller sends a request.
	maxAttempts = 2
)

// callerRequest is a request as its caller sees it.
type callerRequest struct {
	kind           int
	sentMillis     float64
	deadlineMillis float64
	attempts       int
	refusals       int
	ended          bool
}

// arrive sends a request of kind i after a random delay, and schedules the next
// one.
func (w *world) arrive(i int) {
	rate := w.kinds[i].perSecond
	if w.pattern.isDisturbed(w.loop.Now()) {
		rate *= w.pattern.demand
	}
	w.loop.After(w.random.ExpFloat64()/rate*millisPerSecond, func() {
		now := w.loop.Now()
		cr := &callerRequest{kind: i, sentMillis: now, deadlineMillis: now + w.kinds[i].timeoutMillis}
		w.loop.After(w.kinds[i].timeoutMillis, func() { w.expire(cr) })
		w.sendAttempt(cr)
		w.arrive(i)
	})
}

func (w *world) sendAttempt(cr *callerRequest) {
	cr.attempts++
	w.loop.After(clientMillis, func() {
		n := w.drawEntry()
		n.enter(cr, func(o outcome, retryAfterMillis float64) {
			w.loop.After(clientMillis, func() { w.handleResult(cr, o, retryAfterMillis) })
		})
	})
}

// handleResult retries a request or ends it, as its caller sees it.
func (w *world) handleResult(cr *callerRequest, o outcome, retryAfterMillis float64) {
	now := w.loop.Now()
	if cr.ended {
		return
	}
	if o == refused {
		cr.refusals++
	}
	delayMillis := min(retryAfterMillis, (cr.deadlineMillis-now)*maxDelayFraction)
	if o != refused || w.pattern.ignoresRetryAfter {
		delayMillis = shortDelayMillis
	}
	if o == served || cr.attempts >= maxAttempts || now+delayMillis >= cr.deadlineMillis {
		cr.ended = true
		w.tally.recordEnd(cr, w.kinds[cr.kind], o, now)
		return
	}
	w.loop.After(delayMillis, func() {
		if !cr.ended {
			w.sendAttempt(cr)
		}
	})
}

// expire ends a request at its timeout.
func (w *world) expire(cr *callerRequest) {
	if !cr.ended {
		cr.ended = true
		w.tally.recordEnd(cr, w.kinds[cr.kind], failed, w.loop.Now())
	}
}

// retryAfter returns the delay that the node sends to a refused caller, in
// milliseconds.
func (w *world) retryAfter(cr *callerRequest) float64 {
	now := w.loop.Now()
	objectiveLeftMillis := w.kinds[cr.kind].objectiveMillis - (now - cr.sentMillis)
	return delay.Millis(reason.Overloaded, cr.deadlineMillis-now, objectiveLeftMillis, w.random.Float64())
}
