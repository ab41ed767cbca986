// Package ticket represents one request at a gate, from its arrival to its end.
package ticket

import (
	"bergamotloom.example/rank"
	"bergamotloom.example/refuse"
)

type state int8

const (
	created state = iota
	queued
	started
	refused
	ended
)

// Ticket is one request at a gate. The caller sets the exported fields before
// the ticket arrives and doesn't change them afterwards; only the gate calls
// the methods that change its state. It doesn't lock: the lock of its gate
// covers it. A ticket may be reused after Reset.
type Ticket struct {
	// Team names the team that the request is charged to.
	Team string
	// Weight is the configured rate of the team. Under overload the capacity is
	// divided in proportion to it; 0 or less counts as 1.
	Weight float64
	// Rank is the priority of the request.
	Rank rank.Rank
	// DeadlineMillis is when the caller stops waiting, by the clock of the gate.
	DeadlineMillis int64
	// Child says that the request is a call of a target for a request that
	// was already admitted elsewhere.
	Child bool
	// AdmittedFraction is the fraction (0 to 1) of requests of the same route,
	// team and rank that the entry admitted when it sent this one, or the
	// request that caused it. Demand derives from it; 0 means all.
	AdmittedFraction float64
	// OnSettled is called, under the lock of the gate, when a queued ticket has
	// been started or refused. It must not call the gate.
	OnSettled func(t *Ticket)

	// ArrivedMillis and StartedMillis are set by the gate, in milliseconds of its
	// clock with fractions.
	ArrivedMillis float64
	StartedMillis float64
	// FinishTag and HeapIndex are set by the gate: the virtual finish time by
	// which fair queueing orders the ticket, and its index in the heap.
	FinishTag float64
	HeapIndex int

	state   state
	refusal refuse.Refusal
}

// Started reports whether the request holds a slot.
func (t *Ticket) Started() bool { return t.state == started }

// Queued reports whether the request waits for a slot.
func (t *Ticket) Queued() bool { return t.state == queued }

// Refused reports whether the request was refused; Refusal says why.
func (t *Ticket) Refused() bool { return t.state == refused }

// Refusal returns why the request was refused.
func (t *Ticket) Refusal() refuse.Refusal { return t.refusal }

// Demand returns how many requests this one stands for, counting those that
// the entry refused.
func (t *Ticket) Demand() float64 {
	if t.AdmittedFraction <= 0 || t.AdmittedFraction > 1 {
		return 1
	}
	return 1 / t.AdmittedFraction
}

// Reset clears the state and the refusal, so that the ticket can arrive again.
func (t *Ticket) Reset() {
	t.state = created
	t.refusal = refuse.Refusal{}
}

// Enqueue marks the ticket as waiting. Only gates call it.
func (t *Ticket) Enqueue() { t.state = queued }

// Start marks the ticket as holding a slot. Only gates call it.
func (t *Ticket) Start(nowMillis float64) {
	wasQueued := t.state == queued
	t.state = started
	t.StartedMillis = nowMillis
	t.notify(wasQueued)
}

// Refuse marks the ticket as refused. Only gates call it.
func (t *Ticket) Refuse(r refuse.Refusal) {
	wasQueued := t.state == queued
	t.state = refused
	t.refusal = r
	t.notify(wasQueued)
}

// End marks the ticket as finished or cancelled. Only gates call it.
func (t *Ticket) End() { t.state = ended }

func (t *Ticket) notify(wasQueued bool) {
	if wasQueued && t.OnSettled != nil {
		t.OnSettled(t)
	}
}
