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

// overloadState guards with one mutex the early filter, which estimates per
// route whether the gates would refuse a request, and the retry budget for new
// requests.
type overloadState struct {
	mutex       sync.Mutex
	early       *early.Filter
	retryBudget *ratio.Ratio
}

func newOverloadState(c clock.Clock) *overloadState {
	return &overloadState{early: early.New(c), retryBudget: ratio.NewDefault()}
}

// admits decides on a request at random. It returns the fraction of such
// requests that are admitted and whether this one is.
func (f *overloadState) admits(route, team string, r rank.Rank) (float64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.early.Admits(route, team, r, rand.Float64())
}

// learn records the lowest thresholds that a response reported for the route
// and the team.
func (f *overloadState) learn(route, team string, b bounds.Bounds) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.early.RecordResponse(route, team, b.Service, b.Threshold, b.TeamLevel)
}

// grantRetries counts a new request and takes up to n retries from the budget.
func (f *overloadState) grantRetries(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.retryBudget.Earn()
	return f.retryBudget.Grant(n)
}

// takeRetry takes one retry from the budget for a request that was counted already,
// and reports whether there was one.
func (f *overloadState) takeRetry() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.retryBudget.Spend()
}

func (f *overloadState) returnRetries(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.retryBudget.Return(n)
}

// refuseEarly refuses a new request here if the gates behind its route have
// reported that they would refuse it, before any work is spent on it.
func refuseEarly(e *Entry, x *exchange) (refuse.Refusal, bool) {
	admittedFraction, ok := e.overload.admits(x.route.Name, x.team.Name, x.route.Rank)
	if !ok {
		return refuse.New(reason.Overloaded).WithRetryAfter(earlyRetryAfterMillis), true
	}
	x.envelope.AdmittedFraction = admittedFraction
	return proceed()
}
