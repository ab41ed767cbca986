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

// retryAfterMillis is what a caller is told that was refused early.
const retryAfterMillis = 1000

// filter is what the node knows of overload behind each route, and the budget
// of retries for new requests, behind one lock.
type filter struct {
	mutex   sync.Mutex
	early   *early.Filter
	entries *ratio.Ratio
}

func newFilter(c clock.Clock) *filter {
	return &filter{early: early.New(c), entries: ratio.NewDefault()}
}

func (f *filter) passes(route, team string, r rank.Rank) (float64, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.early.Admits(route, team, r, rand.Float64())
}

func (f *filter) learn(route, team string, b bounds.Bounds) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.early.RecordResponse(route, team, b.Service, b.Threshold, b.TeamLevel)
}

// grant counts a new request and takes up to n retries from the budget.
func (f *filter) grant(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entries.Earn()
	return f.entries.Grant(n)
}

func (f *filter) giveBack(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entries.Return(n)
}

// refuseEarly refuses a new request here when the gates behind its route told
// that they would refuse it, before any work is spent on it.
func refuseEarly(e *Entry, k *work) (refuse.Refusal, bool) {
	share, ok := e.filter.passes(k.route.Name, k.team.Name, k.route.Rank)
	if !ok {
		return refuse.New(reason.Overloaded).WithRetryAfter(retryAfterMillis), true
	}
	k.envelope.Passed = share
	return pass()
}
