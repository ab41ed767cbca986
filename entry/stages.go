package entry

import "bergamotloom.example/refuse"

// stage is one step on a request's way.
type stage struct {
	name string
	work func(e *Entry, k *work) (r refuse.Refusal, refused bool)
}

// callerStages lists what a request of a caller passes through, in order.
func callerStages() []stage { return callers }

// targetStages lists what a call of the node's own target passes through.
func targetStages() []stage { return targets }

var callers = []stage{
	{"shape", checkShape},
	{"route", matchRoute},
	{"key", checkKey},
	{"body", limitBody},
	{"deadline", setDeadline},
	{"identity", setIdentity},
	{"crash", refuseCrasher},
	{"early", refuseEarly},
	{"rate", takeRate},
	{"claim", claimRequest},
	{"allowance", grantAllowance},
	{"deliver", deliver},
}

var targets = []stage{
	{"shape", checkShape},
	{"route", matchRoute},
	{"parent", findParent},
	{"body", limitBody},
	{"deadline", setDeadline},
	{"identity", setIdentity},
	{"crash", refuseCrasher},
	{"repeat", chargeRepeat},
	{"claim", claimRequest},
	{"deliver", deliver},
}
