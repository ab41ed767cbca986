// Package clock gives the project one small clock that counts milliseconds.
//
// Decisions never ask the operating system for the time. They are handed a
// Clock, so that tests and the bench run them on a virtual clock.
package clock

import (
	"sync/atomic"
	"time"
)

const microsPerMilli = 1000

// Clock tells the time in milliseconds. The zero value isn't usable: make one
// with New or NewManual. A Clock may be copied and used by many goroutines.
type Clock struct {
	micros func() int64
}

// New returns the clock of a running process. It starts at the wall clock's
// milliseconds since 1970 and from there on follows the monotonic clock, so it
// never runs backwards and it keeps counting while the process is stopped.
func New() Clock {
	start := time.Now()
	base := start.UnixMicro()
	return Clock{micros: func() int64 {
		return base + time.Since(start).Microseconds()
	}}
}

// NewManual returns a virtual clock that stands at startMillis, and the
// function that moves it forward by a number of milliseconds (fractions are
// kept down to the microsecond).
func NewManual(startMillis int64) (Clock, func(millis float64)) {
	now := &atomic.Int64{}
	now.Store(startMillis * microsPerMilli)
	advance := func(millis float64) {
		now.Add(int64(millis * microsPerMilli))
	}
	return Clock{micros: now.Load}, advance
}

// Now returns the time in whole milliseconds.
func (c Clock) Now() int64 {
	return c.micros() / microsPerMilli
}

// Fine returns the time in milliseconds with its fraction, for measuring
// delays that are shorter than a millisecond.
func (c Clock) Fine() float64 {
	return float64(c.micros()) / microsPerMilli
}

// Since returns how many whole milliseconds have passed since then, which was
// read from the same clock.
func (c Clock) Since(then int64) int64 {
	return c.Now() - then
}
