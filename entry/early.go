package entry

import (
	"math/rand/v2"
	"sync"

	"bergamotloom.example/bounds"
	"bergamotloom.example/clock"
	"bergamotloom.example/early"
	"bergamotloom.example/rank"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// earlyRetryAfterMillis is the retry delay sent with an early refusal.
const earlyRetryAfterMillis = 1000

// earlyFilter guards with one lock what the node has learned about overload
// behind each route, and the retry budget for new requests.
type earlyFilter struct {
	mutex       sync.Mutex
	early       *early.Filter
	retryBudget *ratio.Ratio
}

func newEarlyFilter(c clock.Clock) *earlyFilter {
	return &earlyFilter{early: early.New(c), retryBudget: ratio.NewRetries()}
}

func (f *earlyFilter) admits(route, team string, r rank.Rank) (float64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.early.Passes(route, team, r, rand.Float64())
}

func (f *earlyFilter) learn(route, team string, b bounds.Bounds) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.early.Learn(route, team, b.Service, b.Threshold, b.TeamLevel)
}

// grantRetries counts a new request and takes up to n retries from the budget.
func (f *earlyFilter) grantRetries(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.retryBudget.Earn()
	return f.retryBudget.Grant(n)
}

func (f *earlyFilter) returnRetries(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.retryBudget.Return(n)
}

// refuseEarly refuses a new request here if the gates behind its route have
// reported that they would refuse it, before any work is spent on it.
func refuseEarly(e *Entry, x *exchange) (refuse.Refusal, bool) {
	admittedFraction, ok := e.filter.admits(x.route.Name, x.team.Name, x.route.Rank)
	if !ok {
		return refuse.New(reason.Overloaded).WithRetryAfter(earlyRetryAfterMillis), true
	}
	x.envelope.AdmittedFraction = admittedFraction
	return proceed()
}
