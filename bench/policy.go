package bench

import (
	"bergamotloom.example/clock"
	"bergamotloom.example/gate"
	"bergamotloom.example/level"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/ticket"
)

// admitter decides which requests a target runs, and when.
type admitter interface {
	Arrive(t *ticket.Ticket)
	Finish(t *ticket.Ticket, ok bool, childMillis float64)
	Cancel(t *ticket.Ticket)
	Tick()
	Threshold() level.Level
	TeamLevel(team string) level.Level
}

// policy is a named combination of overload control mechanisms.
type policy struct {
	name string
	help string
	// newAdmitter returns the admitter of a target that announces so many slots.
	newAdmitter func(c clock.Clock, slots int) admitter
	// earlyRefusal refuses requests at the entry, retryBudget bounds retries,
	// cancelOverdue stops work past its deadline, and balanceLoad selects
	// instances by the latencies and thresholds in earlier responses.
	earlyRefusal  bool
	retryBudget   bool
	cancelOverdue bool
	balanceLoad   bool
}

func policies() []policy {
	return []policy{
		{
			name: "none", help: "no control",
			newAdmitter: func(clock.Clock, int) admitter { return admitAll{} },
		},
		{
			name: "fifo", help: "a fixed limit with a FIFO queue",
			newAdmitter: func(c clock.Clock, slots int) admitter { return &fifo{clock: c, slots: slots} },
		},
		{
			name: "gradient", help: "a limit by the gradient of the latency, with a FIFO queue, retry budget and cancellation",
			newAdmitter: newGradient,
			retryBudget: true, cancelOverdue: true, balanceLoad: true,
		},
		{
			name: "weighted", help: "a fixed limit with weighted queues by rank, retry budget and cancellation",
			newAdmitter: newWeighted,
			retryBudget: true, cancelOverdue: true, balanceLoad: true,
		},
		{
			name: "loom-rank", help: "this version, ranks before teams",
			newAdmitter:  func(c clock.Clock, slots int) admitter { return gate.New(c, slots, 0, false) },
			earlyRefusal: true, retryBudget: true, cancelOverdue: true, balanceLoad: true,
		},
		{
			name: "loom-team", help: "this version, teams before ranks",
			newAdmitter:  func(c clock.Clock, slots int) admitter { return gate.New(c, slots, 0, true) },
			earlyRefusal: true, retryBudget: true, cancelOverdue: true, balanceLoad: true,
		},
	}
}

// admitAll admits every request.
type admitAll struct{}

func (admitAll) Arrive(t *ticket.Ticket) { t.Start(0) }

func (admitAll) Finish(*ticket.Ticket, bool, float64) {}

func (admitAll) Cancel(*ticket.Ticket) {}

func (admitAll) Tick() {}

func (admitAll) Threshold() level.Level { return level.Full }

func (admitAll) TeamLevel(string) level.Level { return level.Full }

// fifoFactor is the length of a FIFO queue as a multiple of the slots.
const fifoFactor = 1

// fifo runs as many requests as there are slots, queues further ones in the
// order of their arrival, and refuses the rest.
type fifo struct {
	admitAll
	clock   clock.Clock
	slots   int
	running int
	queue   []*ticket.Ticket
}

func (f *fifo) Arrive(t *ticket.Ticket) {
	switch {
	case f.running < f.slots:
		f.running++
		t.Start(f.clock.Fine())
	case len(f.queue) < f.slots*fifoFactor:
		t.Enqueue()
		f.queue = append(f.queue, t)
	default:
		t.Refuse(refuse.New(reason.Overloaded))
	}
}

func (f *fifo) Finish(*ticket.Ticket, bool, float64) {
	f.running--
	if len(f.queue) == 0 {
		return
	}
	next := f.queue[0]
	f.queue = f.queue[1:]
	f.running++
	next.Start(f.clock.Fine())
}
