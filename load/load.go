// Package load sends an open-loop load: requests arrive when the plan says so,
// however slowly earlier ones are answered.
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

// resultsSize is the size of the ring between the senders and the tally.
const resultsSize = 1024

// Load sends the requests of one plan. Make it with New and run it once.
type Load struct {
	plan    plan.Plan
	clock   clock.Clock
	sender  *sender.Sender
	open    chan struct{}
	results chan answer.Answer
	sends   sync.WaitGroup
	watch   func(answer.Answer)
}

// New returns the load of a plan that was checked. The sender may be shared,
// also by loads that follow, which then find its connections open.
func New(p plan.Plan, c clock.Clock, s *sender.Sender) *Load {
	return &Load{
		plan:    p,
		clock:   c,
		sender:  s,
		open:    make(chan struct{}, p.MaxOpen),
		results: make(chan answer.Answer, resultsSize),
		watch:   func(answer.Answer) {},
	}
}

// Watch has each answer shown to a function besides being counted. It's called
// before Run, by one goroutine at a time.
func (l *Load) Watch(watch func(answer.Answer)) *Load {
	l.watch = watch
	return l
}

// Run sends the whole plan, waits for the last answer and returns the tally.
// When ctx ends it sends no more, and open requests end as broken.
func (l *Load) Run(ctx context.Context) *tally.Tally {
	t := tally.New()
	l.RunInto(ctx, t)
	return t
}

// RunInto is Run with a tally that may hold answers of earlier loads.
func (l *Load) RunInto(ctx context.Context, t *tally.Tally) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.count(t)
	}()
	l.schedule(ctx)
	l.sends.Wait()
	close(l.results)
	<-done
}

func (l *Load) count(t *tally.Tally) {
	for a := range l.results {
		t.Add(a)
		l.watch(a)
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

// begin sends the request on a goroutine of its own, if there is room.
func (l *Load) begin(ctx context.Context, a arrive.Arrival, due time.Time) {
	late := float64(time.Since(due).Microseconds()) / float64(time.Millisecond/time.Microsecond)
	select {
	case l.open <- struct{}{}:
	default:
		l.results <- answer.Answer{Marker: a.Marker, Team: a.Team, Route: a.Route, Kind: answer.Unsent, LateMillis: late}
		return
	}
	l.sends.Go(func() {
		l.results <- l.send(ctx, a).WithLate(late)
		<-l.open
	})
}

// send sends the request, and again as the plan allows, at the next node.
func (l *Load) send(ctx context.Context, a arrive.Arrival) answer.Answer {
	start := l.clock.Fine()
	for sends := 1; ; sends++ {
		node := l.plan.Nodes[(a.Number+int64(sends)-1)%int64(len(l.plan.Nodes))]
		got := l.sender.Send(ctx, node, a).WithSends(sends, l.clock.Fine()-start)
		if sends > l.plan.Resends || !sendAgain(got) {
			return got
		}
		if !pause.For(ctx, time.Duration(l.plan.ResendMillis)*time.Millisecond) {
			return got
		}
	}
}

// sendAgain tells whether the answer calls for a resend. A non-idempotent
// request keeps its idempotency key, so that it's always safe to ask.
func sendAgain(a answer.Answer) bool {
	switch a.Kind {
	case answer.Broken, answer.Failed:
		return true
	case answer.Refused:
		status := reason.Reason(a.Reason).Status()
		passing := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
		return passing && a.Ran != string(runst.Once)
	default:
		return false
	}
}
