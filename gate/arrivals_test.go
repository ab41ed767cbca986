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
	simulatedSlots = 5
	// simulatedRunMillis is the run time of a request, and simulatedIdleMillis
	// the idle time of a slot between two: over five real connections, a
	// stand-in target with five slots served 753 to 766 requests of 25 ms in
	// the time of 800.
	simulatedRunMillis  = 25
	simulatedIdleMillis = 1.4
	// meanArrivalIntervalMillis is for three times the capacity.
	meanArrivalIntervalMillis = simulatedRunMillis / (3.0 * simulatedSlots)
	simulatedDurationMillis   = 6000
	simulatedTimeoutMillis    = 500
	// simulatedThresholdAgeMillis is the age of the threshold that entries use.
	simulatedThresholdAgeMillis = 10
	// roundingMillis compensates for the manual clock truncating to whole
	// microseconds.
	roundingMillis = 0.0005
	// minServedFraction is the part of the capacity that must be served under
	// overload.
	minServedFraction = 0.9
)

// simulation sends a gate requests at random times and runs those that it
// admits.
type simulation struct {
	random  *rand.Rand
	clock   clock.Clock
	advance func(float64)
	gate    *gate.Gate
	// thresholds holds the threshold of the gate in each millisecond so far.
	thresholds []level.Level
	// running holds the tickets in slots by start time, started all tickets
	// that have started so far.
	running           []*ticket.Ticket
	started           map[*ticket.Ticket]bool
	nextArrivalMillis float64
	served            int
}

func newSimulation(seed uint64) *simulation {
	manual, advance := clock.NewManual(0)
	return &simulation{
		random:  rand.New(rand.NewPCG(seed, 0)),
		clock:   manual,
		advance: advance,
		gate:    gate.New(manual, simulatedSlots, 0, false),
		started: make(map[*ticket.Ticket]bool),
	}
}

func (s *simulation) moveTo(millis float64) {
	s.advance(max(millis-s.clock.Fine(), 0) + roundingMillis)
}

// recordStart adds a ticket to the running ones if it has just started.
func (s *simulation) recordStart(t *ticket.Ticket) {
	if t.Started() && !s.started[t] {
		s.started[t] = true
		s.running = append(s.running, t)
	}
}

// nextEndMillis returns when the next running ticket ends.
func (s *simulation) nextEndMillis() float64 {
	if len(s.running) == 0 {
		return math.Inf(1)
	}
	return s.running[0].StartedMillis + simulatedRunMillis + simulatedIdleMillis
}

// runUntil processes the arrivals and ends before the time.
func (s *simulation) runUntil(millis float64) {
	for min(s.nextEndMillis(), s.nextArrivalMillis) < millis {
		if s.nextEndMillis() <= s.nextArrivalMillis {
			s.end()
			continue
		}
		s.arrive()
	}
	s.moveTo(millis)
}

func (s *simulation) end() {
	s.moveTo(s.nextEndMillis())
	t := s.running[0]
	s.running = s.running[1:]
	s.gate.Finish(t, true, 0)
	s.served++
}

// arrive sends a request unless the entry refuses it by the threshold of
// simulatedThresholdAgeMillis ago.
func (s *simulation) arrive() {
	s.moveTo(s.nextArrivalMillis)
	s.nextArrivalMillis += s.random.ExpFloat64() * meanArrivalIntervalMillis
	admitted := s.thresholds[max(len(s.thresholds)-simulatedThresholdAgeMillis, 0)].AdmittedFraction(rank.Normal)
	if s.random.Float64() >= admitted {
		return
	}
	t := request(rank.Normal, "a")
	t.AdmittedFraction = admitted
	t.DeadlineMillis = s.clock.Now() + simulatedTimeoutMillis
	t.OnSettled = s.recordStart
	s.gate.Arrive(t)
	s.recordStart(t)
}

// Guards against idle slots under overload: with random arrivals at three times
// the capacity, of which entries refuse some by a threshold that is some
// milliseconds old, a target with few slots must still be kept busy.
func TestRandomArrivalsKeepSlotsBusyUnderOverload(t *testing.T) {
	const capacity = simulatedDurationMillis * simulatedSlots / simulatedRunMillis
	for seed := range uint64(8) {
		s := newSimulation(seed)
		for millis := range simulatedDurationMillis {
			s.thresholds = append(s.thresholds, s.gate.Threshold())
			s.runUntil(float64(millis + 1))
			s.gate.Tick()
		}
		assert.Check(t, float64(s.served) >= minServedFraction*capacity, "seed %d: served %d of %d requests", seed, s.served, capacity)
	}
}
