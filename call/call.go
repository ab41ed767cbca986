// Package call holds a request while it runs at the target, so that the
// target's own calls to other services can be charged to it.
package call

import (
	"context"
	"sync"

	"bergamotloom.example/bounds"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/retry"
)

// Call is one running request: the parent of the calls that the target makes
// for it. It's safe for many goroutines, as a target may call in parallel.
type Call struct {
	// Token is the opaque value by which the target names the call.
	Token string
	// Envelope is what came with the request.
	Envelope envel.Envelope
	// DeadlineMillis is when its time runs out, on the node's own clock.
	DeadlineMillis int64

	clock   clock.Clock
	context context.Context

	mutex     sync.Mutex
	allowance retry.Allowance
	children  int
	busyFrom  float64
	busy      float64
	lowest    bounds.Bounds
	// failed holds the fingerprints of child calls that failed.
	failed map[string]bool
}

// New returns the call for a request that begins to run. The context ends when
// the request ends or is cancelled, and its children with it.
func New(ctx context.Context, c clock.Clock, token string, e envel.Envelope) *Call {
	return &Call{
		Token:          token,
		Envelope:       e,
		DeadlineMillis: c.Now() + e.TimeoutMillis,
		clock:          c,
		context:        ctx,
		allowance:      retry.New(e.Allowance),
		failed:         make(map[string]bool),
		lowest:         bounds.None(),
	}
}

// Context ends when the call does.
func (c *Call) Context() context.Context {
	return c.context
}

// BeginChild takes note that the target waits for a call of its own, and lends
// it its part of the retry allowance. The part is half of what is left, so
// that a call made at the same time finds some too.
func (c *Call) BeginChild() retry.Allowance {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.children == 0 {
		c.busyFrom = c.clock.Fine()
	}
	c.children++
	rest, lent := c.allowance.Split(parallelGuess)
	c.allowance = rest
	return lent
}

// parallelGuess is by how many calls at a time an allowance is divided.
const parallelGuess = 2

// EndChild takes back what a child call left of its allowance.
func (c *Call) EndChild(unused retry.Allowance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.allowance = c.allowance.Merge(unused)
	c.children--
	if c.children == 0 {
		c.busy += c.clock.Fine() - c.busyFrom
	}
}

// ChildFailed takes note of a child call that got no good answer.
func (c *Call) ChildFailed(fingerprint string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failed[fingerprint] = true
}

// AllowChild tells whether the target may make a child call. One that failed
// before is a retry of the target's own, which takes from the allowance.
func (c *Call) AllowChild(fingerprint string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.failed[fingerprint] {
		return true
	}
	return c.take()
}

// TakeRetry takes one retry from the allowance, if there is one.
func (c *Call) TakeRetry() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.take()
}

// take is TakeRetry under the lock.
func (c *Call) take() bool {
	rest, ok := c.allowance.Take()
	c.allowance = rest
	return ok
}

// RecordBounds takes what the answer of a child call told of the thresholds in its
// chain.
func (c *Call) RecordBounds(lowest bounds.Bounds) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lowest = c.lowest.Lower(lowest)
}

// LowestBounds returns the lowest bounds of the child calls so far.
func (c *Call) LowestBounds() bounds.Bounds {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lowest
}

// UnusedAllowance returns what is left of the call's own allowance when it ends.
func (c *Call) UnusedAllowance() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.allowance.Left()
}

// ChildMillis returns how long the target waited for calls of its own.
func (c *Call) ChildMillis() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.children > 0 {
		return c.busy + c.clock.Fine() - c.busyFrom
	}
	return c.busy
}
