package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// takeRateToken takes a token from the rate limit of the request's team, which
// holds across all nodes. Requests without a team, on routes open to all,
// aren't counted. Calls made by targets aren't either, because their root
// request was counted.
func takeRateToken(e *Entry, x *exchange) (refuse.Refusal, bool) {
	if x.team.Name == "" {
		return proceed()
	}
	granted, retryAfterMillis := e.limiter.Take(x.context, x.team.Name)
	if !granted {
		return refuse.New(reason.RateExceeded).WithRetryAfter(retryAfterMillis), true
	}
	return proceed()
}
