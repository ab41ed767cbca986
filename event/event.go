// Package event runs actions in the order of a virtual time.
package event

import (
	"container/heap"
	"math"

	"bergamotloom.example/clock"
)

const microsPerMilli = 1000

// Loop holds actions that are due later and the virtual clock that they move.
type Loop struct {
	clock   clock.Clock
	advance func(millis float64)
	now     int64
	count   int64
	due     actions
}

// New returns a loop whose clock stands at zero.
func New() *Loop {
	c, advance := clock.NewManual(0)
	return &Loop{clock: c, advance: advance}
}

// Clock returns the virtual clock.
func (l *Loop) Clock() clock.Clock { return l.clock }

// Now returns the virtual time in milliseconds.
func (l *Loop) Now() float64 { return float64(l.now) / microsPerMilli }

// After has the action done so many milliseconds from now. Actions of the same
// time are done in the order in which they were added.
func (l *Loop) After(millis float64, do func()) {
	l.count++
	at := l.now + int64(math.Ceil(max(millis, 0)*microsPerMilli))
	heap.Push(&l.due, action{at: at, number: l.count, do: do})
}

// Every has the action done at this interval for as long as the loop runs.
func (l *Loop) Every(millis float64, do func()) {
	l.After(millis, func() {
		do()
		l.Every(millis, do)
	})
}

// Run does everything that is due up to the given time in milliseconds.
func (l *Loop) Run(untilMillis float64) {
	until := int64(untilMillis * microsPerMilli)
	for len(l.due) > 0 && l.due[0].at <= until {
		a, ok := heap.Pop(&l.due).(action)
		if !ok {
			panic("event: the heap holds something else than actions")
		}
		l.moveTo(a.at)
		a.do()
	}
	l.moveTo(until)
}

// halfMicro makes the clock's rounding down hit the whole microsecond.
const halfMicro = 0.5

func (l *Loop) moveTo(at int64) {
	if at > l.now {
		l.advance((float64(at-l.now) + halfMicro) / microsPerMilli)
		l.now = at
	}
}

type action struct {
	at     int64
	number int64
	do     func()
}

type actions []action

func (a actions) Len() int { return len(a) }

func (a actions) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].number < a[j].number
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
