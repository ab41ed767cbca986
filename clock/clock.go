// Package clock provides a clock that counts milliseconds.
//
// Code whose decisions depend on the time uses a Clock instead of the operating
// system's, so that tests and the bench can run it on a virtual clock.
package clock

import (
	"sync/atomic"
	"time"
)

const microsPerMilli = 1000

// Clock returns the time in milliseconds. The zero value isn't usable: make one
// with New or NewManual. A Clock may be copied and used by many goroutines.
type Clock struct {
	micros func() int64
}

// New returns the clock of a running process. It starts at the wall clock's
// milliseconds since 1970 and from there on follows the monotonic clock, so it
// never runs backwards and continues while the process is stopped.
func New() Clock {
	start := time.Now()
	baseMicros := start.UnixMicro()
	return Clock{micros: func() int64 {
		return baseMicros + time.Since(start).Microseconds()
	}}
}

// NewManual returns a virtual clock set to startMillis, and a function that
// advances it by a number of milliseconds, with a resolution of a microsecond.
func NewManual(startMillis int64) (Clock, func(millis float64)) {
	nowMicros := &atomic.Int64{}
	nowMicros.Store(startMillis * microsPerMilli)
	advance := func(millis float64) {
		nowMicros.Add(int64(millis * microsPerMilli))
	}
	return Clock{micros: nowMicros.Load}, advance
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

// Since returns the whole milliseconds that have passed since startMillis, which
// was read from the same clock.
func (c Clock) Since(startMillis int64) int64 {
	return c.Now() - startMillis
}
