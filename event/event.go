// Package event runs scheduled actions on a virtual clock.
package event

import (
	"container/heap"
	"math"

	"bergamotloom.example/clock"
)

const microsPerMilli = 1000

// Loop is an event loop: a queue of scheduled actions and the virtual clock that
// advances to the time of each action. It isn't safe for concurrent use.
type Loop struct {
	clock     clock.Clock
	advance   func(millis float64)
	nowMicros int64
	sequence  int64
	pending   actions
}

// New returns a loop whose clock starts at zero.
func New() *Loop {
	c, advance := clock.NewManual(0)
	return &Loop{clock: c, advance: advance}
}

// Clock returns the virtual clock.
func (l *Loop) Clock() clock.Clock { return l.clock }

// Now returns the virtual time in milliseconds.
func (l *Loop) Now() float64 { return float64(l.nowMicros) / microsPerMilli }

// After schedules the action to run after the given time in milliseconds,
// rounded up to a whole microsecond. A negative time counts as 0. Actions of the same time run in the order
// in which they were scheduled.
func (l *Loop) After(millis float64, run func()) {
	l.sequence++
	atMicros := l.nowMicros + int64(math.Ceil(max(millis, 0)*microsPerMilli))
	heap.Push(&l.pending, action{atMicros: atMicros, sequence: l.sequence, run: run})
}

// Every schedules the action to run repeatedly at this interval, in milliseconds.
// It runs for the first time after one interval.
func (l *Loop) Every(millis float64, run func()) {
	l.After(millis, func() {
		run()
		l.Every(millis, run)
	})
}

// Run runs all actions that are due up to the given virtual time in milliseconds,
// and advances the clock to that time.
func (l *Loop) Run(untilMillis float64) {
	untilMicros := int64(untilMillis * microsPerMilli)
	for len(l.pending) > 0 && l.pending[0].atMicros <= untilMicros {
		a, ok := heap.Pop(&l.pending).(action)
		if !ok {
			panic("event: the heap contains a value that isn't an action")
		}
		l.advanceTo(a.atMicros)
		a.run()
	}
	l.advanceTo(untilMicros)
}

// roundingMicros is added to each advance. The clock truncates an advance to whole
// microseconds; half a microsecond more keeps a floating-point error from making
// it one less.
const roundingMicros = 0.5

func (l *Loop) advanceTo(atMicros int64) {
	if atMicros > l.nowMicros {
		l.advance((float64(atMicros-l.nowMicros) + roundingMicros) / microsPerMilli)
		l.nowMicros = atMicros
	}
}

// action is a scheduled action. The sequence number keeps the order of actions of
// the same time.
type action struct {
	atMicros int64
	sequence int64
	run      func()
}

// actions is a heap of scheduled actions, the earliest first.
type actions []action

func (a actions) Len() int { return len(a) }

func (a actions) Less(i, j int) bool {
	if a[i].atMicros != a[j].atMicros {
		return a[i].atMicros < a[j].atMicros
	}
	return a[i].sequence < a[j].sequence
}

func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *actions) Push(x any) {
	if v, ok := x.(action); ok {
		*a = append(*a, v)
	}
}

func (a *actions) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}
