// Package plat is the stand-in for the platform: a table service and an object
// store in memory, with switches for the ways in which the real ones fail.
//
// Go tests use it directly through Table and Objects, processes through the
// HTTP interface that Handler serves. The switches act on both.
package plat

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"bergamotloom.example/clock"
	"bergamotloom.example/counts"
	"bergamotloom.example/faults"
	"bergamotloom.example/object"
	"bergamotloom.example/table"
)

var (
	errOutage    = errors.New("platform: out of service")
	errThrottled = errors.New("platform: too many calls a second")
	errLost      = errors.New("platform: the answer was lost")
)

// Platform is the whole stand-in. It's safe for many goroutines at once.
type Platform struct {
	clock clock.Clock

	mutex    sync.Mutex
	faults   faults.Faults
	counts   counts.Counts
	reads    *rate.Limiter
	writes   *rate.Limiter
	rows     map[string]*row
	outcomes *outcomes
	objects  map[string][]byte
}

// New returns an empty platform with the given switches.
func New(c clock.Clock, f faults.Faults) *Platform {
	p := &Platform{
		clock:    c,
		rows:     make(map[string]*row),
		outcomes: newOutcomes(),
		objects:  make(map[string][]byte),
	}
	p.SetFaults(f)
	return p
}

// Table returns the table service as seen from this process.
func (p *Platform) Table() table.Table {
	return tables{p}
}

// Objects returns the object store as seen from this process.
func (p *Platform) Objects() object.Store {
	return objects{p}
}

// SetFaults sets all switches at once. Calls that are already left unanswered
// stay so.
func (p *Platform) SetFaults(f faults.Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	p.reads = limiter(f.ReadsPerSecond)
	p.writes = limiter(f.WritesPerSecond)
}

// Faults returns the switches as they stand.
func (p *Platform) Faults() faults.Faults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// Counts returns the counters.
func (p *Platform) Counts() counts.Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

// limiter allows n calls a second, and a second's worth at once.
func limiter(n int) *rate.Limiter {
	if n <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(n), n)
}

// read lets a read through the switches and runs it on the state.
func (p *Platform) read(ctx context.Context, work func()) error {
	if err := p.delay(ctx); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admit(p.reads); err != nil {
		return err
	}
	p.counts.Reads++
	work()
	return nil
}

// write lets a write through the switches, runs it on the state, and loses the
// answer when told to.
func (p *Platform) write(ctx context.Context, work func()) error {
	if err := p.delay(ctx); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admit(p.writes); err != nil {
		return err
	}
	p.counts.Writes++
	work()
	return p.answer()
}

// delay holds a call back as the switches say.
func (p *Platform) delay(ctx context.Context) error {
	f := p.Faults()
	if f.Silence {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), "platform: no answer")
	}
	if f.SlowMillis <= 0 {
		return errors.Wrap(ctx.Err(), "platform: no answer")
	}
	wait := time.NewTimer(time.Duration(f.SlowMillis) * time.Millisecond)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "platform: no answer in time")
	case <-wait.C:
		return nil
	}
}

// admit refuses a call during an outage or above the limit.
func (p *Platform) admit(l *rate.Limiter) error {
	if p.faults.Outage {
		p.counts.Refused++
		return errOutage
	}
	if !l.AllowN(time.UnixMilli(p.clock.Now()), 1) {
		p.counts.Refused++
		return errThrottled
	}
	return nil
}

// answer loses the answer of a write that has taken effect, if it's one of
// those to be lost.
func (p *Platform) answer() error {
	if p.faults.LoseAnswers == 0 {
		return nil
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
	}
	p.counts.Lost++
	return errLost
}
