package gate_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/gate"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
	"bergamotloom.example/ticket"
)

const (
	noiseSlots = 5
	// noiseWork is the work of a request, and noiseHop what a slot loses
	// between two, in milliseconds: five connections to a stand-in with five
	// slots were served 753 to 766 of 800 requests of 25 ms.
	noiseWork = 25
	noiseHop  = 1.4
	// noiseGap is the mean time between arrivals: three times the capacity.
	noiseGap     = noiseWork / (3.0 * noiseSlots)
	noiseMillis  = 6000
	noiseTimeout = 500
	// noiseLag is how old the threshold is that entries go by.
	noiseLag = 10
	// roundMillis makes up for the manual clock cutting off below a microsecond.
	roundMillis = 0.0005
	// noiseBound is the promised part of the capacity under overload.
	noiseBound = 0.9
)

// crowd sends a gate requests in random order and runs those that it admits.
type crowd struct {
	random  *rand.Rand
	clock   clock.Clock
	advance func(float64)
	gate    *gate.Gate
	// thresholds are the gate's for each millisecond so far.
	thresholds []level.Level
	// running are the tickets in slots by their time of start, and begun all
	// that ever were.
	running []*ticket.Ticket
	begun   map[*ticket.Ticket]bool
	arrival float64
	served  int
}

func newCrowd(seed uint64) *crowd {
	c, advance := clock.NewManual(0)
	return &crowd{
		random:  rand.New(rand.NewPCG(seed, 0)),
		clock:   c,
		advance: advance,
		gate:    gate.New(c, noiseSlots, 0, false),
		begun:   make(map[*ticket.Ticket]bool),
	}
}

func (c *crowd) moveTo(millis float64) {
	c.advance(max(millis-c.clock.Fine(), 0) + roundMillis)
}

// settled takes a ticket whose state may have changed.
func (c *crowd) settled(w *ticket.Ticket) {
	if w.Started() && !c.begun[w] {
		c.begun[w] = true
		c.running = append(c.running, w)
	}
}

// nextEnd is when the first running ticket ends.
func (c *crowd) nextEnd() float64 {
	if len(c.running) == 0 {
		return math.Inf(1)
	}
	return c.running[0].StartedMillis + noiseWork + noiseHop
}

// until plays what happens before the time.
func (c *crowd) until(millis float64) {
	for min(c.nextEnd(), c.arrival) < millis {
		if c.nextEnd() <= c.arrival {
			c.end()
			continue
		}
		c.arrive()
	}
	c.moveTo(millis)
}

func (c *crowd) end() {
	c.moveTo(c.nextEnd())
	w := c.running[0]
	c.running = c.running[1:]
	c.gate.Finish(w, true, 0)
	c.served++
}

// arrive sends a request unless the threshold that the entry knows refuses it.
func (c *crowd) arrive() {
	c.moveTo(c.arrival)
	c.arrival += c.random.ExpFloat64() * noiseGap
	share := c.thresholds[max(len(c.thresholds)-noiseLag, 0)].Share(rank.Normal)
	if c.random.Float64() >= share {
		return
	}
	w := request(rank.Normal, "a")
	w.AdmittedFraction = share
	w.DeadlineMillis = c.clock.Now() + noiseTimeout
	w.OnSettled = c.settled
	c.gate.Arrive(w)
	c.settled(w)
}

// Arrivals in random order at three times the capacity, thinned out by a
// threshold that is some milliseconds old, keep a target of few slots at work.
func TestNoiseOfArrivalsLeavesFewSlotsIdle(t *testing.T) {
	const could = noiseMillis * noiseSlots / noiseWork
	for seed := range uint64(8) {
		c := newCrowd(seed)
		for millis := range noiseMillis {
			c.thresholds = append(c.thresholds, c.gate.Threshold())
			c.until(float64(millis + 1))
			c.gate.Tick()
		}
		assert.Check(t, float64(c.served) >= noiseBound*could, "seed %d: %d of %d", seed, c.served, could)
	}
}
