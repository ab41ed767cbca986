// Package load generates an open-loop load: requests are sent at the times that
// the plan sets, however slowly earlier ones complete.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bergamotloom.example/answer"
	"bergamotloom.example/arrive"
	"bergamotloom.example/clock"
	"bergamotloom.example/pause"
	"bergamotloom.example/plan"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
	"bergamotloom.example/sender"
	"bergamotloom.example/tally"
)

// resultsCapacity bounds the channel between the senders and the tally. It lets
// senders continue while the tally is busy with a burst of outcomes.
const resultsCapacity = 1024

// Load sends the requests of one plan. Make it with New and run it once.
type Load struct {
	plan   plan.Plan
	clock  clock.Clock
	sender *sender.Sender
	// inFlight has one element for each request in flight.
	inFlight chan struct{}
	results  chan answer.Outcome
	senders  sync.WaitGroup
	observe  func(answer.Outcome)
}

// New returns the load of a plan that Check has accepted. The sender may be
// shared, also with later loads, which then reuse its open connections.
func New(p plan.Plan, c clock.Clock, s *sender.Sender) *Load {
	return &Load{
		plan:     p,
		clock:    c,
		sender:   s,
		inFlight: make(chan struct{}, p.MaxOpen),
		results:  make(chan answer.Outcome, resultsCapacity),
		observe:  func(answer.Outcome) {},
	}
}

// Watch sets a function that is called with each outcome after it was counted,
// by one goroutine at a time. Call it before Run.
func (l *Load) Watch(observe func(answer.Outcome)) *Load {
	l.observe = observe
	return l
}

// Run sends the whole plan, waits for the last outcome and returns the tally.
// When ctx ends, it sends no more, and requests in flight count as broken.
func (l *Load) Run(ctx context.Context) *tally.Tally {
	t := tally.New()
	l.RunInto(ctx, t)
	return t
}

// RunInto is Run with a tally that may hold outcomes of earlier loads.
func (l *Load) RunInto(ctx context.Context, t *tally.Tally) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.count(t)
	}()
	l.schedule(ctx)
	l.senders.Wait()
	close(l.results)
	<-done
}

func (l *Load) count(t *tally.Tally) {
	for a := range l.results {
		t.Add(a)
		l.observe(a)
	}
}

// schedule draws the arrivals and starts each at its time.
func (l *Load) schedule(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.plan.Seed, l.plan.Seed))
	start := time.Now()
	next := time.Duration(0)
	for number := int64(0); ; number++ {
		gap, more := l.plan.Gap(random, next)
		if !more {
			return
		}
		next += gap
		a := l.plan.Draw(random, number)
		if !pause.For(ctx, time.Until(start.Add(next))) {
			return
		}
		l.begin(ctx, a, start.Add(next))
	}
}

// begin sends the request on its own goroutine, or counts it as unsent if
// MaxOpen requests are in flight.
func (l *Load) begin(ctx context.Context, a arrive.Arrival, due time.Time) {
	lateMillis := float64(time.Since(due).Microseconds()) / float64(time.Millisecond/time.Microsecond)
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.results <- answer.Outcome{Marker: a.Marker, Team: a.Team, Route: a.Route, Kind: answer.Unsent, LateMillis: lateMillis}
		return
	}
	l.senders.Go(func() {
		l.results <- l.send(ctx, a).WithLate(lateMillis)
		<-l.inFlight
	})
}

// send sends the request and repeats it as often as the plan allows, each time
// to the next node.
func (l *Load) send(ctx context.Context, a arrive.Arrival) answer.Outcome {
	start := l.clock.Fine()
	for sends := 1; ; sends++ {
		node := l.plan.Nodes[(a.Number+int64(sends)-1)%int64(len(l.plan.Nodes))]
		outcome := l.sender.Send(ctx, node, a).WithSends(sends, l.clock.Fine()-start)
		if sends > l.plan.Resends || !shouldResend(outcome) {
			return outcome
		}
		if !pause.For(ctx, time.Duration(l.plan.ResendMillis)*time.Millisecond) {
			return outcome
		}
	}
}

// shouldResend tells whether the request may be sent again. That is safe for a
// non-idempotent request too, because it keeps its idempotency key.
func shouldResend(a answer.Outcome) bool {
	switch a.Kind {
	case answer.Broken, answer.Failed:
		return true
	case answer.Refused:
		status := reason.Reason(a.Reason).Status()
		isTemporary := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
		return isTemporary && a.Ran != string(runst.Once)
	default:
		return false
	}
}
