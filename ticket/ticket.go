// Package ticket holds one request as a gate sees it, from its arrival to its
// end.
package ticket

import (
	"bergamotloom.example/rank"
	"bergamotloom.example/refuse"
)

type state int8

const (
	fresh state = iota
	queued
	started
	refused
	ended
)

// Ticket is one request at a gate. Its owner sets the exported fields before
// it arrives and leaves them alone afterwards; the gate alone calls the
// methods that change its state. It doesn't lock: the lock of its gate covers
// it. A ticket may be used again after Reset.
type Ticket struct {
	// Team names the team that the request is charged to.
	Team string
	// Weight is the team's rate, by which teams get their parts.
	Weight float64
	// Rank says how much the request matters.
	Rank rank.Rank
	// DeadlineMillis is when the caller stops waiting, on the gate's clock.
	DeadlineMillis int64
	// Child says that the request is a call of a target for a request that
	// was already admitted elsewhere.
	Child bool
	// AdmittedFraction is the share of such requests that the entry let pass when it
	// sent this one, so that gates know the demand behind it; 0 means all.
	AdmittedFraction float64
	// OnSettled is called, under the gate's lock, when a queued ticket has been
	// started or refused. It must not call the gate.
	OnSettled func(t *Ticket)

	// ArrivedMillis and StartedMillis are set by the gate.
	ArrivedMillis float64
	StartedMillis float64
	// FinishTag and Index are the gate's place for the ticket in its queue.
	FinishTag   float64
	HeapIndex int

	state   state
	refusal refuse.Refusal
}

// Started tells whether the request has a slot.
func (t *Ticket) Started() bool { return t.state == started }

// Queued tells whether the request waits for a slot.
func (t *Ticket) Queued() bool { return t.state == queued }

// Refused tells whether the request was refused; Refusal says why.
func (t *Ticket) Refused() bool { return t.state == refused }

// Refusal returns why the request was refused.
func (t *Ticket) Refusal() refuse.Refusal { return t.refusal }

// Demand returns how many requests this one stands for.
func (t *Ticket) Demand() float64 {
	if t.AdmittedFraction <= 0 || t.AdmittedFraction > 1 {
		return 1
	}
	return 1 / t.AdmittedFraction
}

// Reset clears the state, so that the ticket can arrive again.
func (t *Ticket) Reset() {
	t.state = fresh
	t.refusal = refuse.Refusal{}
}

// Queue marks the ticket as waiting. Only gates call it.
func (t *Ticket) Queue() { t.state = queued }

// Start marks the ticket as holding a slot. Only gates call it.
func (t *Ticket) Start(nowMillis float64) {
	waited := t.state == queued
	t.state = started
	t.StartedMillis = nowMillis
	t.settle(waited)
}

// Refuse marks the ticket as refused. Only gates call it.
func (t *Ticket) Refuse(r refuse.Refusal) {
	waited := t.state == queued
	t.state = refused
	t.refusal = r
	t.settle(waited)
}

// End marks the ticket as done or cancelled. Only gates call it.
func (t *Ticket) End() { t.state = ended }

func (t *Ticket) settle(waited bool) {
	if waited && t.OnSettled != nil {
		t.OnSettled(t)
	}
}
