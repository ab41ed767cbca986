// Package vnet is a message queue with delay, loss and cuts on a virtual
// clock, for running many parts of a protocol in one process. It's no model of
// instances or targets: it only carries messages, and lets ticks happen.
package vnet

import (
	"math/rand/v2"

	"bergamotloom.example/clock"
)

const (
	tickMillis = 100
	// hopMillis is the longest delay of a message; the shortest is 1.
	hopMillis = 5
)

// part is one node's part in a protocol.
type part interface {
	Tick()
	Receive(from string, message []byte)
}

// event is a tick of a part, or a message on its way to it.
type event struct {
	to, from string
	message  []byte
}

// Net carries messages between parts. One seed gives one course of events. It
// isn't safe for concurrent use.
type Net struct {
	// Loss is the part of the messages that get lost.
	Loss float64
	// IsCut tells whether messages between two addresses get lost.
	IsCut func(from, to string) bool
	// Overhear is told every message that is sent.
	Overhear func(from, to string, message []byte)

	clock   clock.Clock
	advance func(millis float64)
	random  *rand.Rand
	due     map[int64][]event
	parts   map[string]part
	stopped map[string]int64
}

// New returns an empty net whose clock stands at startMillis.
func New(startMillis int64, seed uint64) *Net {
	n := &Net{
		IsCut:    func(string, string) bool { return false },
		Overhear: func(string, string, []byte) {},
		random:   rand.New(rand.NewPCG(seed, seed)),
		due:      make(map[int64][]event),
		parts:    make(map[string]part),
		stopped:  make(map[string]int64),
	}
	n.clock, n.advance = clock.NewManual(startMillis)
	return n
}

// Clock returns the virtual clock.
func (n *Net) Clock() clock.Clock {
	return n.clock
}

// Sender returns the function by which the part at an address sends.
func (n *Net) Sender(from string) func(to string, message []byte) {
	return func(to string, message []byte) {
		n.Overhear(from, to, message)
		if n.random.Float64() < n.Loss || n.IsCut(from, to) {
			return
		}
		n.push(1+n.random.Int64N(hopMillis), event{to: to, from: from, message: message})
	}
}

// Add puts a part at an address and lets it tick from now on.
func (n *Net) Add(address string, p part) {
	n.parts[address] = p
	n.push(1+n.random.Int64N(tickMillis), event{to: address})
}

// Stop holds a part's ticks and messages back for so many milliseconds.
func (n *Net) Stop(address string, millis int64) {
	n.stopped[address] = n.clock.Now() + millis
}

// IsStopped tells whether the part is held back now.
func (n *Net) IsStopped(address string) bool {
	return n.stopped[address] > n.clock.Now()
}

// Run lets so many milliseconds pass. It's asked every 10 ms whether it's
// done, and returns true as soon as it is.
func (n *Net) Run(millis int64, isDone func() bool) bool {
	const askMillis = 10
	end := n.clock.Now() + millis
	for {
		now := n.clock.Now()
		for i := 0; i < len(n.due[now]); i++ {
			n.dispatch(n.due[now][i])
		}
		delete(n.due, now)
		if isDone != nil && now%askMillis == 0 && isDone() {
			return true
		}
		if now >= end {
			return false
		}
		n.advance(1)
	}
}

// Leap lets a long time pass at once, as if all parts were held back.
func (n *Net) Leap(millis int64) {
	for a := range n.parts {
		if !n.IsStopped(a) {
			n.Stop(a, millis)
		}
	}
	waiting := n.due
	n.due = make(map[int64][]event)
	n.advance(float64(millis))
	for at, events := range waiting {
		n.due[at+millis] = events
	}
}

func (n *Net) push(inMillis int64, e event) {
	at := n.clock.Now() + inMillis
	n.due[at] = append(n.due[at], e)
}

func (n *Net) dispatch(e event) {
	p, ok := n.parts[e.to]
	if !ok {
		return
	}
	if left := n.stopped[e.to] - n.clock.Now(); left > 0 {
		n.push(left, e)
		return
	}
	if e.message != nil {
		p.Receive(e.from, e.message)
		return
	}
	p.Tick()
	n.push(tickMillis, e)
}
