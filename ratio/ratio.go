// Package ratio bounds retries to a share of the first sends.
package ratio

// Ratio is a budget that earns a fraction of a retry with each first send.
// A node keeps one for each pair of services, and one for the requests that
// enter the fleet at it. It doesn't lock: the node holds a mutex for it.
type Ratio struct {
	share float64
	most  float64
	saved float64
}

const (
	// retryShare bounds the retries of a pair of services, or of the requests
	// that enter at a node, to a part of their first sends.
	retryShare = 0.08
	// savedRetries is what such a budget saves up at most.
	savedRetries = 20
)

// startSaved is what a new budget holds at most: enough for a lost instance
// while nothing was earned, and little when everything fails from the start.
const startSaved = 2

// New returns a budget of share retries for each first send, which saves up
// to most retries and starts with at most startSaved.
func New(share, most float64) *Ratio {
	return &Ratio{share: share, most: most, saved: min(most, startSaved)}
}

// NewDefault returns the budget that nodes keep.
func NewDefault() *Ratio {
	return New(retryShare, savedRetries)
}

// Earn counts one first send.
func (r *Ratio) Earn() {
	r.saved = min(r.saved+r.share, r.most)
}

// Spend takes one retry out of the budget, if there is one.
func (r *Ratio) Spend() bool {
	return r.Grant(1) == 1
}

// Grant takes up to n retries out of the budget, to be carried along with a
// request, and returns how many.
func (r *Ratio) Grant(n int) int {
	granted := min(n, int(r.saved))
	r.saved -= float64(granted)
	return granted
}

// Return gives back what a request didn't use.
func (r *Ratio) Return(n int) {
	r.saved = min(r.saved+float64(n), r.most)
}

// Charge takes a retry out of the budget that was decided on elsewhere, also
// if there's none. The debt is at most what the budget may save up.
func (r *Ratio) Charge() {
	r.saved = max(r.saved-1, -r.most)
}

// Balance returns how many retries are in the budget.
func (r *Ratio) Balance() float64 {
	return r.saved
}
