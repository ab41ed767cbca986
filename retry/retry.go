// Package retry decides on retries and tracks their allowance along the chain
// of calls that one request causes.
package retry

import "bergamotloom.example/runst"

// Allowance is the number of retries that a request may still cause, here and
// in the calls below it. Split deducts what it gives to a call, and Merge adds
// what the call leaves unused. If a response is lost, its unused part counts as
// used. Allowance is a value: its methods return changed copies.
type Allowance struct {
	left int
}

// New returns an allowance of n retries, which the entry took from its retry
// budget.
func New(n int) Allowance {
	return Allowance{left: max(n, 0)}
}

// Left returns the number of retries left.
func (a Allowance) Left() int {
	return a.left
}

// Split divides the allowance evenly among a number of concurrent calls, this
// one included. It returns what remains here and what goes with the call, which
// is rounded up.
func (a Allowance) Split(calls int) (remaining, child Allowance) {
	calls = max(calls, 1)
	part := (a.left + calls - 1) / calls
	return Allowance{a.left - part}, Allowance{part}
}

// Merge returns the allowance with the unused part that a response returned.
func (a Allowance) Merge(unused Allowance) Allowance {
	return Allowance{a.left + unused.left}
}

// Take uses one retry, if there is one.
func (a Allowance) Take() (Allowance, bool) {
	if a.left == 0 {
		return a, false
	}
	return Allowance{a.left - 1}, true
}

// Safe reports whether a failed request may be sent again: either it certainly
// never ran, or it's idempotent.
func Safe(ran runst.State, idempotent bool) bool {
	return ran == runst.Never || idempotent
}
