package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// takeRate takes the request from its team's rate, which is counted over all
// nodes. Requests without a team, on routes open to all, aren't counted; and
// neither are calls of targets, which belong to a request that was.
func takeRate(e *Entry, k *work) (refuse.Refusal, bool) {
	if k.team.Name == "" {
		return pass()
	}
	granted, retryAfter := e.rates.Take(k.context, k.team.Name)
	if !granted {
		return refuse.New(reason.RateExceeded).WithRetryAfter(retryAfter), true
	}
	return pass()
}
