// Package vnet simulates a network with delay, loss and partitions on a virtual
// clock, for running many nodes of a protocol in one process. It doesn't model
// instances or targets: it only delivers messages and ticks.
package vnet

import (
	"math/rand/v2"

	"bergamotloom.example/clock"
)

const (
	tickMillis = 100
	// maxDelayMillis is the maximum delay of a message; the minimum is 1 ms.
	maxDelayMillis = 5
)

// participant is one node in a protocol.
type participant interface {
	Tick()
	Receive(from string, message []byte)
}

// event is a message to deliver to a participant, or a tick if message is nil.
type event struct {
	to, from string
	message  []byte
}

// Net delivers messages between participants. The order of events depends only
// on the seed. It isn't safe for concurrent use.
type Net struct {
	// Loss is the fraction (0 to 1) of the messages that get lost.
	Loss float64
	// IsPartitioned tells whether messages between two addresses get lost.
	IsPartitioned func(from, to string) bool
	// OnSend is called with every message that is sent.
	OnSend func(from, to string, message []byte)

	clock   clock.Clock
	advance func(millis float64)
	random  *rand.Rand
	// due holds the events by the time when they happen.
	due          map[int64][]event
	participants map[string]participant
	// pausedUntilMillis holds the time when a paused participant continues.
	pausedUntilMillis map[string]int64
}

// New returns an empty network whose clock is set to startMillis.
func New(startMillis int64, seed uint64) *Net {
	n := &Net{
		IsPartitioned:     func(string, string) bool { return false },
		OnSend:            func(string, string, []byte) {},
		random:            rand.New(rand.NewPCG(seed, seed)),
		due:               make(map[int64][]event),
		participants:      make(map[string]participant),
		pausedUntilMillis: make(map[string]int64),
	}
	n.clock, n.advance = clock.NewManual(startMillis)
	return n
}

// Clock returns the virtual clock.
func (n *Net) Clock() clock.Clock {
	return n.clock
}

// Sender returns the function with which the participant at an address sends
// messages.
func (n *Net) Sender(from string) func(to string, message []byte) {
	return func(to string, message []byte) {
		n.OnSend(from, to, message)
		if n.random.Float64() < n.Loss || n.IsPartitioned(from, to) {
			return
		}
		n.schedule(1+n.random.Int64N(maxDelayMillis), event{to: to, from: from, message: message})
	}
}

// Add adds a participant at an address and starts its ticks.
func (n *Net) Add(address string, p participant) {
	n.participants[address] = p
	n.schedule(1+n.random.Int64N(tickMillis), event{to: address})
}

// Pause delays a participant's ticks and messages until a number of milliseconds
// have passed.
func (n *Net) Pause(address string, millis int64) {
	n.pausedUntilMillis[address] = n.clock.Now() + millis
}

// IsPaused tells whether the participant is paused at present.
func (n *Net) IsPaused(address string) bool {
	return n.pausedUntilMillis[address] > n.clock.Now()
}

// Run advances the clock by a number of milliseconds and delivers the events of
// that time. It calls isDone every 10 ms and returns true as soon as that does.
func (n *Net) Run(millis int64, isDone func() bool) bool {
	const checkIntervalMillis = 10
	end := n.clock.Now() + millis
	for {
		now := n.clock.Now()
		for i := 0; i < len(n.due[now]); i++ {
			n.dispatch(n.due[now][i])
		}
		delete(n.due, now)
		if isDone != nil && now%checkIntervalMillis == 0 && isDone() {
			return true
		}
		if now >= end {
			return false
		}
		n.advance(1)
	}
}

// SkipTime advances the clock without running events: participants are paused
// for that time, and pending events are postponed by it.
func (n *Net) SkipTime(millis int64) {
	for a := range n.participants {
		if !n.IsPaused(a) {
			n.Pause(a, millis)
		}
	}
	pending := n.due
	n.due = make(map[int64][]event)
	n.advance(float64(millis))
	for at, events := range pending {
		n.due[at+millis] = events
	}
}

func (n *Net) schedule(delayMillis int64, e event) {
	at := n.clock.Now() + delayMillis
	n.due[at] = append(n.due[at], e)
}

func (n *Net) dispatch(e event) {
	p, ok := n.participants[e.to]
	if !ok {
		return
	}
	if remaining := n.pausedUntilMillis[e.to] - n.clock.Now(); remaining > 0 {
		n.schedule(remaining, e)
		return
	}
	if e.message != nil {
		p.Receive(e.from, e.message)
		return
	}
	p.Tick()
	n.schedule(tickMillis, e)
}
