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
	granted, exhausted, retryAfterMillis := e.limiter.Take(x.context, x.team.Name)
	if granted {
		return proceed()
	}
	cause := reason.RateUnknown
	if exhausted {
		cause = reason.RateExceeded
	}
	return refuse.New(cause).WithRetryAfter(retryAfterMillis), true
}
