// Package admit lets requests wait at the gate: it puts the pure gate behind a
// lock and turns its callbacks into something that a goroutine can wait for.
package admit

import (
	"context"
	"sync"

	"bergamotloom.example/beat"
	"bergamotloom.example/bounds"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/gate"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/ticket"
)

const (
	// tickMillis is how often the gate looks at its queue while somebody is in
	// it, and idleMillis how often it looks at its measurements otherwise.
	tickMillis = 5
	idleMillis = 100
)

// Admitter is the gate of the node's target, safe for many goroutines.
type Admitter struct {
	clock       clock.Clock
	queueMillis float64
	teamsFirst  bool
	beat        *beat.Beat

	mutex   sync.Mutex
	gate    *gate.Gate
	leaving bool
}

// New returns an admitter that refuses everything until a target opens it.
// Requests wait up to queueMillis for a slot; 0 takes the gate's default. With
// teamsFirst teams get their parts of all ranks below the critical one
// together, and not within each rank.
func New(c clock.Clock, queueMillis float64, teamsFirst bool) *Admitter {
	return &Admitter{
		clock:       c,
		queueMillis: queueMillis,
		teamsFirst:  teamsFirst,
		beat:        beat.New(tickMillis, idleMillis),
	}
}

// pass is a slot that was granted by a gate.
type pass struct {
	owner  *Admitter
	gate   *gate.Gate
	ticket *ticket.Ticket
}

// SetTarget begins with a new target that has so many slots, and whose speed isn't
// known yet. Requests that run at an earlier one end at its own gate.
func (a *Admitter) SetTarget(slots int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.gate = gate.New(a.clock, slots, a.queueMillis, a.teamsFirst)
	if a.leaving {
		a.gate.SetLeaving()
	}
}

// Run ticks the gate until the context ends.
func (a *Admitter) Run(ctx context.Context) {
	a.beat.Run(ctx, a.tick)
}

// Admit waits until the gate admits or refuses the request. With true the
// request holds a slot, which end gives back: ok tells whether the target
// answered, childMillis how long it waited for calls of its own.
func (a *Admitter) Admit(ctx context.Context, e envel.Envelope) (end func(ok bool, childMillis float64), r refuse.Refusal, admitted bool) {
	settled := make(chan struct{})
	t := &ticket.Ticket{
		Team:           e.Team,
		Weight:         e.Weight,
		Rank:           e.Rank,
		DeadlineMillis: a.clock.Now() + e.TimeoutMillis,
		Child:          e.Child(),
		AdmittedFraction:         e.Passed,
		OnSettled:        func(*ticket.Ticket) { close(settled) },
	}
	g := a.arrive(t)
	if g == nil {
		return nil, refuse.New(reason.NoInstance), false
	}
	p := &pass{owner: a, gate: g, ticket: t}
	if !p.wait(ctx, settled) {
		return nil, refuse.New(reason.Cancelled), false
	}
	if t.Refused() {
		return nil, t.Refusal(), false
	}
	return p.end, refuse.Refusal{}, true
}

// arrive hands the ticket to the present gate, if there is one.
func (a *Admitter) arrive(t *ticket.Ticket) *gate.Gate {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return nil
	}
	a.gate.Arrive(t)
	if t.Queued() {
		a.beat.Wake()
	} else {
		t.OnSettled(t)
	}
	return a.gate
}

// wait tells whether the gate settled the ticket before the caller went away.
func (p *pass) wait(ctx context.Context, settled <-chan struct{}) bool {
	select {
	case <-settled:
		return true
	case <-ctx.Done():
	}
	p.owner.mutex.Lock()
	defer p.owner.mutex.Unlock()
	p.gate.Cancel(p.ticket)
	return false
}

func (p *pass) end(ok bool, childMillis float64) {
	p.owner.mutex.Lock()
	defer p.owner.mutex.Unlock()
	p.gate.Finish(p.ticket, ok, childMillis)
}

// tick tells whether somebody waits.
func (a *Admitter) tick() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return false
	}
	a.gate.Tick()
	return a.gate.Waiting() > 0
}

// Bounds returns what goes back with each answer for the team: the admission
// threshold and the team's level under it.
func (a *Admitter) Bounds(team string) bounds.Bounds {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return bounds.None()
	}
	return bounds.Bounds{Threshold: a.gate.Threshold(), TeamLevel: a.gate.TeamLevel(team)}
}

// SetSlots takes another number of slots of the same target.
func (a *Admitter) SetSlots(n int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate != nil {
		a.gate.SetSlots(n)
	}
}

// SetLeaving refuses all new work from now on.
func (a *Admitter) SetLeaving() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.leaving = true
	if a.gate != nil {
		a.gate.SetLeaving()
	}
}

// Load returns how many requests run, how many wait and the present limit.
func (a *Admitter) Load() (running, waiting, limit int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return 0, 0, 0
	}
	return a.gate.Running(), a.gate.Waiting(), a.gate.Limit()
}
