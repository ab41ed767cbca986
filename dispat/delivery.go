package dispat

import (
	"context"
	"io"
	"sync"

	"bergamotloom.example/bounds"
	"bergamotloom.example/envel"
	"bergamotloom.example/member"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
)

const (
	// allowanceParts is the number of equal parts of the allowance: an attempt
	// gets one, and the other is kept for retries at this node.
	allowanceParts = 2

	// maxInstancesLost is the max number of instances lost while they had the
	// request with which it is still retried.
	maxInstancesLost = 1
)

// delivery is one request with all its attempts.
type delivery struct {
	dispatcher     *Dispatcher
	service        string
	budgetKey      servicePair
	envelope       envel.Envelope
	deadlineMillis int64
	allowance      retry.Allowance
	// grantRetry grants one more retry once the allowance is used up, if it isn't
	// nil.
	grantRetry func() bool
	outgoing   *resendableRequest
	tried      []string
	// mayHaveRun says that an earlier attempt may have run.
	mayHaveRun bool
	// instancesLost counts the instances that were lost while they had the
	// request.
	instancesLost int
	lowest        bounds.Bounds
}

// run sends the request until there is a response or it may not be retried.
func (d *delivery) run(ctx context.Context) reply.Reply {
	result := reply.Refused(refuse.New(reason.NoInstance))
	for {
		remainingMillis := d.deadlineMillis - d.dispatcher.clock.Now()
		if remainingMillis <= 0 {
			return d.finish(reply.Refused(refuse.New(reason.DeadlineExceeded)))
		}
		m, ok := d.dispatcher.pick(d.service, d.tried)
		if !ok {
			return d.finish(result)
		}
		result = d.attempt(ctx, m, remainingMillis)
		if result.Served() || !d.mayRetry(result) {
			return d.finish(result)
		}
		d.tried = append(d.tried, m.ID)
	}
}

// attempt sends the request to one instance.
func (d *delivery) attempt(ctx context.Context, m member.Member, remainingMillis int64) reply.Reply {
	allowanceLeft, attemptAllowance := d.allowance.Split(allowanceParts)
	d.allowance = allowanceLeft
	e := d.envelope.WithAttempt(remainingMillis, attemptAllowance.Left())
	result := d.dispatcher.forwarder.Forward(ctx, m.ID, e, d.outgoing.request(), func() { d.dispatcher.ejectBriefly(m) })
	if !result.Served() && d.outgoing.bodyFailed.Load() {
		result = brokenBodyResult(result)
	}
	d.allowance = d.allowance.Merge(retry.New(result.UnusedAllowance))
	d.lowest = d.lowest.Lower(result.Lowest)
	d.reportInstance(m, result)
	if !result.Served() {
		d.mayHaveRun = d.mayHaveRun || result.Refusal.Ran != runst.Never
		d.dispatcher.attemptEnded(m, result, false)
		return result
	}
	result.Body = &trackedResponse{ReadCloser: result.Body, onEnd: func(complete bool) { d.dispatcher.attemptEnded(m, result, complete) }}
	return result
}

// brokenBodyResult returns the result of an attempt that failed because the
// request's body couldn't be read to its end. Such a failure says nothing about
// the instance.
func brokenBodyResult(result reply.Reply) reply.Reply {
	result.Refusal.Reason = reason.BadRequest
	result.Refusal.Detail = "The body broke off."
	result.ConnectionLost = false
	return result
}

// reportInstance reports what the attempt revealed about the instance.
func (d *delivery) reportInstance(m member.Member, result reply.Reply) {
	switch {
	case result.ConnectionRefused:
		d.dispatcher.onConnectionRefused(m)
	case result.ConnectionStalled:
		d.dispatcher.onConnectionStalled(m)
	case result.ConnectionLost:
		d.dispatcher.onRequestLost(m, d.envelope.Fingerprint)
	}
}

// mayRetry reports whether the refused request may be sent to another instance:
// a request that never ran may, one that may have run only if it's idempotent.
// It counts lost instances, and takes the retry from the allowance and the
// budget.
func (d *delivery) mayRetry(result reply.Reply) bool {
	if !retryable(result.Refusal.Reason) || !d.outgoing.canResend() {
		return false
	}
	if d.lostInstance(result) {
		d.instancesLost++
	}
	if d.instancesLost > maxInstancesLost {
		// The request itself may be what crashes the instances.
		return false
	}
	if !retry.Safe(result.Refusal.Ran, d.envelope.Idempotent) {
		return false
	}
	return d.takeRetry()
}

// takeRetry takes one retry from the allowance and one from the budget of the pair
// of services, and reports whether there was one in both. An attempt without a
// response has used up what it got of the allowance, and other requests may have
// held all retries when this one began.
func (d *delivery) takeRetry() bool {
	if d.allowance.Left() == 0 && d.grantRetry != nil && d.grantRetry() {
		d.allowance = retry.New(1)
	}
	allowanceLeft, ok := d.allowance.Take()
	if !ok || !d.dispatcher.spendRetry(d.budgetKey) {
		return false
	}
	d.allowance = allowanceLeft
	return true
}

// lostInstance reports whether the instance was lost while it had the request.
// An instance may still be running, and doesn't count, if only one connection to it
// or to its target stalled.
func (d *delivery) lostInstance(result reply.Reply) bool {
	return result.Refusal.Reason == reason.InstanceLost && result.Refusal.Ran != runst.Never && !result.ConnectionStalled && !result.TargetStalled
}

// retryable reports whether another instance might serve the request.
func retryable(r reason.Reason) bool {
	switch r {
	case reason.InstanceLost, reason.Overloaded, reason.Leaving, reason.NoInstance, reason.NotInForce:
		return true
	default:
		return false
	}
}

func (d *delivery) finish(result reply.Reply) reply.Reply {
	result.Lowest = d.lowest
	// Even if the last attempt never ran, an earlier one may have.
	if !result.Served() && d.mayHaveRun {
		result.Refusal = result.Refusal.WithRan(runst.Maybe)
	}
	return result
}

// trackedResponse reports the end of a response body, and whether the body was
// complete.
type trackedResponse struct {
	io.ReadCloser
	once     sync.Once
	complete bool
	onEnd    func(complete bool)
}

// Read reads from the body and records its end.
func (t *trackedResponse) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	if err == io.EOF { //nolint:errorlint // readers return a bare io.EOF
		t.complete = true
	}
	return n, err
}

// Close ends the attempt.
func (t *trackedResponse) Close() error {
	err := t.ReadCloser.Close()
	t.once.Do(func() { t.onEnd(t.complete) })
	return err
}
