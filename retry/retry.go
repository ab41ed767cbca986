// Package retry decides on retries and carries their allowance along the
// chain of calls that one request causes.
package retry

import "bergamotloom.example/runst"

// Allowance is the number of retries that a request may still cause, here and
// in the calls below it. It's a conserved quantity: what Split hands to a call
// is missing here until Merge brings back the unused rest, and what is lost on
// the way counts as used. It's a value: methods return changed copies.
type Allowance struct {
	left int
}

// New returns an allowance of n retries, which the entry got from its ratio.
func New(n int) Allowance {
	return Allowance{left: max(n, 0)}
}

// Left returns the number of retries left.
func (a Allowance) Left() int {
	return a.left
}

// Split divides the allowance for one of so many calls at the same time, this
// one included: it returns what stays here and what goes with the call.
func (a Allowance) Split(calls int) (rest, child Allowance) {
	calls = max(calls, 1)
	part := (a.left + calls - 1) / calls
	return Allowance{a.left - part}, Allowance{part}
}

// Merge returns the allowance with the unused rest that an answer brought.
func (a Allowance) Merge(rest Allowance) Allowance {
	return Allowance{a.left + rest.left}
}

// Take uses one retry, if there is one.
func (a Allowance) Take() (Allowance, bool) {
	if a.left == 0 {
		return a, false
	}
	return Allowance{a.left - 1}, true
}

// Safe tells whether a request may be sent again after it failed: when it
// certainly never ran, or when running it twice does no harm.
func Safe(ran runst.State, idempotent bool) bool {
	return ran == runst.Never || idempotent
}
