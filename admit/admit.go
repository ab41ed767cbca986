// Package admit lets requests wait at the gate: it serialises access to the gate
// and turns its callbacks into a blocking call.
package admit

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"bergamotloom.example/bounds"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/gate"
	"bergamotloom.example/poller"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/ticket"
)

const (
	// queuedTickMillis is the tick interval of the gate while requests are
	// queued, idleTickMillis otherwise, which keeps its measurements current.
	queuedTickMillis = 5
	idleTickMillis   = 100
)

// Admitter is the gate of the node's target. It's safe for concurrent use.
type Admitter struct {
	clock       clock.Clock
	queueMillis float64
	teamsFirst  bool
	poller      *poller.Poller

	mutex   sync.Mutex
	gate    *gate.Gate
	leaving bool
}

// New returns an admitter that refuses everything until SetTarget. The queue is
// sized for a queueing delay of queueMillis; 0 takes the default of the gate.
// Under overload the capacity is divided by rank, and within a rank among teams.
// With teamsFirst the normal and sheddable ranks are divided among teams
// together, and rank only counts within a team.
func New(c clock.Clock, queueMillis float64, teamsFirst bool) *Admitter {
	return &Admitter{
		clock:       c,
		queueMillis: queueMillis,
		teamsFirst:  teamsFirst,
		poller:      poller.New(queuedTickMillis, idleTickMillis),
	}
}

// admission ties a ticket to the gate that it arrived at, which SetTarget may
// have replaced since.
type admission struct {
	admitter *Admitter
	gate     *gate.Gate
	ticket   *ticket.Ticket
}

// SetTarget begins with a new target that has this number of slots and whose
// capacity isn't known yet. Requests that run at an earlier target end at the
// gate of that target.
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
	a.poller.Run(ctx, a.tick)
}

// Admit waits until the gate admits or refuses the request. It also refuses with
// NoInstance before SetTarget, and when ctx ends first: with DeadlineExceeded if its
// deadline has passed, else with Cancelled. An admitted request holds a slot, which
// end frees: succeeded reports whether the response was complete, childMillis how long
// the target waited for calls of its own.
func (a *Admitter) Admit(ctx context.Context, e envel.Envelope) (end func(succeeded bool, childMillis float64), r refuse.Refusal, admitted bool) {
	settled := make(chan struct{})
	t := &ticket.Ticket{
		Team:             e.Team,
		Weight:           e.Weight,
		Rank:             e.Rank,
		DeadlineMillis:   a.clock.Now() + e.TimeoutMillis,
		Child:            e.IsChild(),
		AdmittedFraction: e.AdmittedFraction,
		OnSettled:        func(*ticket.Ticket) { close(settled) },
	}
	g := a.arrive(t)
	if g == nil {
		return nil, refuse.New(reason.NoInstance), false
	}
	arrived := &admission{admitter: a, gate: g, ticket: t}
	if !arrived.wait(ctx, settled) {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, refuse.New(reason.DeadlineExceeded), false
		}
		return nil, refuse.New(reason.Cancelled), false
	}
	if t.Refused() {
		return nil, t.Refusal(), false
	}
	return arrived.end, refuse.Refusal{}, true
}

// arrive passes the ticket to the current gate and returns the gate, or nil if
// there is none.
func (a *Admitter) arrive(t *ticket.Ticket) *gate.Gate {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return nil
	}
	a.gate.Arrive(t)
	if t.Queued() {
		a.poller.Wake()
	} else {
		t.OnSettled(t)
	}
	return a.gate
}

// wait reports whether the gate admitted or refused the ticket before ctx ended.
func (a *admission) wait(ctx context.Context, settled <-chan struct{}) bool {
	select {
	case <-settled:
		return true
	case <-ctx.Done():
	}
	a.admitter.mutex.Lock()
	defer a.admitter.mutex.Unlock()
	a.gate.Cancel(a.ticket)
	return false
}

func (a *admission) end(succeeded bool, childMillis float64) {
	a.admitter.mutex.Lock()
	defer a.admitter.mutex.Unlock()
	a.gate.Finish(a.ticket, succeeded, childMillis)
}

// tick reports whether requests are queued.
func (a *Admitter) tick() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return false
	}
	a.gate.Tick()
	return a.gate.Waiting() > 0
}

// Bounds returns the thresholds that the node sends with each response to the
// team: the gate's and the team's own.
func (a *Admitter) Bounds(team string) bounds.Bounds {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return bounds.None()
	}
	return bounds.Bounds{Threshold: a.gate.Threshold(), TeamLevel: a.gate.TeamLevel(team)}
}

// SetSlots changes the number of slots of the same target.
func (a *Admitter) SetSlots(n int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate != nil {
		a.gate.SetSlots(n)
	}
}

// SetLeaving refuses all new work from now on, also after SetTarget.
func (a *Admitter) SetLeaving() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.leaving = true
	if a.gate != nil {
		a.gate.SetLeaving()
	}
}

// Load returns how many requests run, how many are queued and the current
// limit of running ones.
func (a *Admitter) Load() (running, waiting, limit int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.gate == nil {
		return 0, 0, 0
	}
	return a.gate.Running(), a.gate.Waiting(), a.gate.Limit()
}
