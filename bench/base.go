package bench

import (
	"bergamotloom.example/clock"
	"bergamotloom.example/gate"
	"bergamotloom.example/level"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/ticket"
)

// admitter is what stands in front of a target.
type admitter interface {
	Arrive(t *ticket.Ticket)
	Finish(t *ticket.Ticket, ok bool, childMillis float64)
	Cancel(t *ticket.Ticket)
	Tick()
	Threshold() level.Level
	TeamLevel(team string) level.Level
}

// policy is one way to control, by its name.
type policy struct {
	name string
	help string
	// admit makes what stands in front of a target with the announced slots.
	admit func(c clock.Clock, slots int) admitter
	// early refuses at the entry; budget bounds retries; cancel stops work
	// whose time ran out; balance picks instances by what answers told.
	early   bool
	budget  bool
	cancel  bool
	balance bool
}

func policies() []policy {
	return []policy{
		{
			name: "none", help: "no control",
			admit: func(clock.Clock, int) admitter { return open{} },
		},
		{
			name: "fifo", help: "a fixed limit with a FIFO queue",
			admit: func(c clock.Clock, slots int) admitter { return &fifo{clock: c, slots: slots} },
		},
		{
			name: "gradient", help: "a limit by the gradient of the latency, with a FIFO queue, retry budget and cancellation",
			admit:  newGradient,
			budget: true, cancel: true, balance: true,
		},
		{
			name: "weighted", help: "a fixed limit with weighted queues by rank, retry budget and cancellation",
			admit:  newWeighted,
			budget: true, cancel: true, balance: true,
		},
		{
			name: "loom-rank", help: "this version, ranks before teams",
			admit: func(c clock.Clock, slots int) admitter { return gate.New(c, slots, 0, false) },
			early: true, budget: true, cancel: true, balance: true,
		},
		{
			name: "loom-team", help: "this version, teams before ranks",
			admit: func(c clock.Clock, slots int) admitter { return gate.New(c, slots, 0, true) },
			early: true, budget: true, cancel: true, balance: true,
		},
	}
}

// open admits everything.
type open struct{}

func (open) Arrive(t *ticket.Ticket) { t.Start(0) }

func (open) Finish(*ticket.Ticket, bool, float64) {}

func (open) Cancel(*ticket.Ticket) {}

func (open) Tick() {}

func (open) Threshold() level.Level { return level.Full }

func (open) TeamLevel(string) level.Level { return level.Full }

// fifoFactor is how many times the slots the FIFO queue holds.
const fifoFactor = 1

// fifo runs as many requests as there are slots and queues the others in the
// order of their arrival.
type fifo struct {
	open
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
