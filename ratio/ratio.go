// Package ratio holds retry budgets, which bound retries to a fraction of the
// first attempts.
package ratio

// Ratio is a retry budget: each first attempt adds a fraction of a retry to it.
// A node keeps several, each for some of its requests, such as those to one
// service, between a pair of services, or those that enter the fleet at the
// node. It isn't safe for concurrent use; the node
// guards it with a mutex.
type Ratio struct {
	retriesPerAttempt float64
	maxBalance        float64
	balance           float64
}

const (
	// defaultRetriesPerAttempt bounds the retries of a pair of services, or of
	// the requests that enter at a node, to this fraction of their first attempts.
	defaultRetriesPerAttempt = 0.08
	// defaultMaxBalance bounds the retries that such a budget saves up.
	defaultMaxBalance = 20
)

// maxInitialBalance bounds the retries in a new budget. They are enough for the
// loss of an instance before first attempts have added any, and few if
// everything fails from the start.
const maxInitialBalance = 2

// New returns a budget to which each first attempt adds retriesPerAttempt
// retries. It saves up to maxBalance retries and starts with at most
// maxInitialBalance.
func New(retriesPerAttempt, maxBalance float64) *Ratio {
	return &Ratio{retriesPerAttempt: retriesPerAttempt, maxBalance: maxBalance, balance: min(maxBalance, maxInitialBalance)}
}

// NewDefault returns a budget with the values that nodes use for a pair of
// services and for the requests that enter the fleet.
func NewDefault() *Ratio {
	return New(defaultRetriesPerAttempt, defaultMaxBalance)
}

// Earn counts one first attempt.
func (r *Ratio) Earn() {
	r.balance = min(r.balance+r.retriesPerAttempt, r.maxBalance)
}

// Spend takes one retry out of the budget and reports whether there was one.
func (r *Ratio) Spend() bool {
	return r.Grant(1) == 1
}

// Grant takes up to n retries out of the budget and returns how many. They are
// passed along with a request as its allowance.
func (r *Ratio) Grant(n int) int {
	granted := min(n, int(r.balance))
	r.balance -= float64(granted)
	return granted
}

// Return puts back n granted retries that a request didn't use.
func (r *Ratio) Return(n int) {
	r.balance = min(r.balance+float64(n), r.maxBalance)
}

// Charge deducts a retry that follows from one further up the chain of calls. The
// balance may become negative, down to -maxBalance.
func (r *Ratio) Charge() {
	r.balance = max(r.balance-1, -r.maxBalance)
}

// Balance returns the number of retries in the budget, negative for a debt.
func (r *Ratio) Balance() float64 {
	return r.balance
}
