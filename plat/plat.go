// Package plat is a stand-in for the platform: an in-memory table service and
// object store that can simulate the faults of the real ones.
//
// Go tests use it directly through Table and Objects, processes use the HTTP
// interface that Handler serves. The fault settings apply to both.
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
	errOutage       = errors.New("platform: out of service")
	errThrottled    = errors.New("platform: too many calls a second")
	errResponseLost = errors.New("platform: the response was lost")
)

// Platform is a table service and an object store in memory. It's safe for
// concurrent use.
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

// New returns an empty platform with the given fault settings.
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

// Table returns the table service for use within the process.
func (p *Platform) Table() table.Table {
	return tables{p}
}

// Objects returns the object store for use within the process.
func (p *Platform) Objects() object.Store {
	return objects{p}
}

// SetFaults replaces all fault settings and restarts both rate limiters with a
// full burst. Calls that already wait because of Silence keep waiting until
// their context ends.
func (p *Platform) SetFaults(f faults.Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	p.reads = newLimiter(f.ReadsPerSecond)
	p.writes = newLimiter(f.WritesPerSecond)
}

// Faults returns the current fault settings.
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

// newLimiter returns a limiter of n calls a second with a burst of n. There is no
// limit if n isn't positive.
func newLimiter(n int) *rate.Limiter {
	if n <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(n), n)
}

// read applies the fault settings and then runs a read with the mutex held.
func (p *Platform) read(ctx context.Context, operation func()) error {
	if err := p.delay(ctx); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admit(p.reads); err != nil {
		return err
	}
	p.counts.Reads++
	operation()
	return nil
}

// write applies the fault settings and runs a write with the mutex held. It
// returns errResponseLost after the write if its response is to be lost.
func (p *Platform) write(ctx context.Context, operation func()) error {
	if err := p.delay(ctx); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.admit(p.writes); err != nil {
		return err
	}
	p.counts.Writes++
	operation()
	return p.loseResponse()
}

// delay delays a call as the fault settings demand.
func (p *Platform) delay(ctx context.Context) error {
	f := p.Faults()
	if f.Silence {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), "platform: no response")
	}
	if f.SlowMillis <= 0 {
		return errors.Wrap(ctx.Err(), "platform: context ended before the call")
	}
	timer := time.NewTimer(time.Duration(f.SlowMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "platform: no response in time")
	case <-timer.C:
		return nil
	}
}

// admit refuses a call during an outage or above the rate limit.
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

// loseResponse returns errResponseLost if the response of a write that has
// taken effect is to be lost.
func (p *Platform) loseResponse() error {
	if p.faults.LoseAnswers == 0 {
		return nil
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
	}
	p.counts.Lost++
	return errResponseLost
}
