package entry

import "bergamotloom.example/refuse"

// stage is one step in the processing of a request.
type stage struct {
	name string
	run  func(e *Entry, x *exchange) (r refuse.Refusal, refused bool)
}

// callerStages lists the stages for requests from callers, in order.
func callerStages() []stage { return callerStageTable }

// targetStages lists the stages for calls made by the node's own target.
func targetStages() []stage { return targetStageTable }

var callerStageTable = []stage{
	{"shape", checkShape},
	{"route", matchRoute},
	{"key", checkKey},
	{"deadline", setDeadline},
	{"body", limitBody},
	{"identity", setIdentity},
	{"crash", refuseCrashSuspect},
	{"early", refuseEarly},
	{"rate", takeRateToken},
	{"claim", claimRequest},
	{"allowance", grantAllowance},
	{"deliver", deliver},
}

var targetStageTable = []stage{
	{"shape", checkShape},
	{"route", matchRoute},
	{"parent", findParent},
	{"deadline", setDeadline},
	{"body", limitBody},
	{"identity", setIdentity},
	{"crash", refuseCrashSuspect},
	{"repeat", chargeTargetRetry},
	{"claim", claimRequest},
	{"deliver", deliver},
}
