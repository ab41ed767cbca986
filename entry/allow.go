package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/retry"
)

// grantAllowance gives the request its retries, as many as the route allows
// and the node's budget holds.
func grantAllowance(e *Entry, k *work) (refuse.Refusal, bool) {
	k.allowance = retry.New(e.filter.grant(k.route.Retries))
	return pass()
}

// chargeRepeat charges a call that the target makes once more after it failed
// to the request's allowance, so that the target's own retries count too.
func chargeRepeat(_ *Entry, k *work) (refuse.Refusal, bool) {
	if k.parent == nil {
		return pass()
	}
	if !k.parent.AllowChild(k.envelope.Fingerprint) {
		return refuse.New(reason.Overloaded).WithDetail("The request has no retries left."), true
	}
	return pass()
}
