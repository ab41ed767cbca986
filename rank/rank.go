// Package rank names how much a request matters, which decides who is refused
// first under overload.
package rank

import "github.com/pkg/errors"

// Rank orders requests by importance: a lower value matters more. The zero
// value is Critical, so a rank that got lost is never refused too early.
type Rank int8

// The ranks, most important first.
const (
	// Critical is for bookings, payments and stock checks: refused last.
	Critical Rank = iota
	// Normal is for work a person waits for, such as availability searches.
	Normal
	// Sheddable is for work that can be asked again later, such as browsing.
	Sheddable
)

// Count is the number of ranks; valid ranks are 0 to Count-1.
const Count = 3

var names = [Count]string{"Critical", "Normal", "Sheddable"}

// Parse returns the rank with the given name, as written in the configuration.
func Parse(name string) (Rank, error) {
	for i, n := range names {
		if n == name {
			return Rank(i), nil
		}
	}
	return Critical, errors.Errorf("unknown rank %q: use Critical, Normal or Sheddable", name)
}

// String returns the rank's name.
func (r Rank) String() string {
	if r < 0 || r >= Count {
		return "Unknown"
	}
	return names[r]
}
