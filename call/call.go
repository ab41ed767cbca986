// Package call represents a request while it runs at the target, so that the
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

// assumedParallelCalls is the number of parallel calls that BeginChild divides
// the allowance among, the new one included.
const assumedParallelCalls = 2

// Call is one running request: the parent of the calls that the target makes
// for it. It's safe for concurrent use, as a target may call in parallel.
type Call struct {
	// Token is the opaque value by which the target identifies the call.
	Token string
	// Envelope is what came with the request.
	Envelope envel.Envelope
	// DeadlineMillis is the deadline of the request, by the clock of the node.
	DeadlineMillis int64

	clock   clock.Clock
	context context.Context

	mutex     sync.Mutex
	allowance retry.Allowance
	// children is the number of child calls in flight, childrenSinceMillis when
	// the first of them began, and childMillis the time waited for earlier ones.
	children            int
	childrenSinceMillis float64
	childMillis         float64
	// lowestBounds holds the bounds with the lowest team level that RecordBounds
	// has received so far.
	lowestBounds bounds.Bounds
	// failed holds the fingerprints of child calls that failed.
	failed map[string]bool
}

// New returns the call for a request that begins to run. The context must end
// when the request ends or is cancelled; child calls end with it.
func New(ctx context.Context, c clock.Clock, token string, e envel.Envelope) *Call {
	return &Call{
		Token:          token,
		Envelope:       e,
		DeadlineMillis: c.Now() + e.TimeoutMillis,
		clock:          c,
		context:        ctx,
		allowance:      retry.New(e.Allowance),
		failed:         make(map[string]bool),
		lowestBounds:   bounds.None(),
	}
}

// Context returns the context of the call, which ends when the call does.
func (c *Call) Context() context.Context {
	return c.context
}

// BeginChild records that the target waits for a call of its own, and returns
// the part of the retry allowance that is lent to that call. The part is half
// of what is left, which leaves some for parallel calls.
func (c *Call) BeginChild() retry.Allowance {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.children == 0 {
		c.childrenSinceMillis = c.clock.Fine()
	}
	c.children++
	rest, lent := c.allowance.Split(assumedParallelCalls)
	c.allowance = rest
	return lent
}

// EndChild records the end of a child call and takes back the unused part of
// its allowance.
func (c *Call) EndChild(unused retry.Allowance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.allowance = c.allowance.Merge(unused)
	c.children--
	if c.children == 0 {
		c.childMillis += c.clock.Fine() - c.childrenSinceMillis
	}
}

// ChildFailed records a child call that wasn't served.
func (c *Call) ChildFailed(fingerprint string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failed[fingerprint] = true
}

// AllowChild reports whether the target may make a child call. One that failed
// before is a retry by the target itself: permission for it takes one retry
// from the allowance.
func (c *Call) AllowChild(fingerprint string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.failed[fingerprint] {
		return true
	}
	return c.takeRetryLocked()
}

// TakeRetry takes one retry from the allowance, if there is one.
func (c *Call) TakeRetry() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.takeRetryLocked()
}

// takeRetryLocked is TakeRetry for callers that hold the mutex.
func (c *Call) takeRetryLocked() bool {
	rest, ok := c.allowance.Take()
	c.allowance = rest
	return ok
}

// RecordBounds records the lowest bounds in the chain of a child call, as its
// response reports them.
func (c *Call) RecordBounds(reported bounds.Bounds) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lowestBounds = c.lowestBounds.Lower(reported)
}

// LowestBounds returns the lowest bounds of the child calls so far.
func (c *Call) LowestBounds() bounds.Bounds {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lowestBounds
}

// UnusedAllowance returns the number of retries left now.
func (c *Call) UnusedAllowance() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.allowance.Left()
}

// ChildMillis returns how long the target has waited for calls of its own, in
// milliseconds; calls at the same time count once.
func (c *Call) ChildMillis() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.children > 0 {
		return c.childMillis + c.clock.Fine() - c.childrenSinceMillis
	}
	return c.childMillis
}
