package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/retry"
)

// grantAllowance grants the request as many retries as its route allows and the
// node's retry budget has left.
func grantAllowance(e *Entry, x *exchange) (refuse.Refusal, bool) {
	x.granted = e.overload.grantRetries(x.route.Retries)
	x.allowance = retry.New(x.granted)
	return proceed()
}

// grantRetry grants the request one more retry at this node, if its route allows
// that and the node's retry budget has one.
func (e *Entry) grantRetry(x *exchange) bool {
	if x.granted >= x.route.Retries || !e.overload.takeRetry() {
		return false
	}
	x.granted++
	return true
}

// chargeTargetRetry takes a retry from the parent's allowance when the target
// retries a call that failed before, so that retries made by the target are
// bounded too.
func chargeTargetRetry(_ *Entry, x *exchange) (refuse.Refusal, bool) {
	if x.parent == nil {
		return proceed()
	}
	if !x.parent.AllowChild(x.envelope.Fingerprint) {
		return refuse.New(reason.Overloaded).WithDetail("The request has no retries left."), true
	}
	return proceed()
}
