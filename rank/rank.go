// Package rank holds the importance of a request, which decides which requests
// are refused first under overload.
package rank

import "github.com/pkg/errors"

// Rank orders requests by importance: a lower value is more important. The zero
// value is Critical, so that a request whose rank was lost isn't refused early.
type Rank int8

// The ranks, most important first.
const (
	// Critical is for bookings, payments and stock checks: refused last.
	Critical Rank = iota
	// Normal is for work that a user waits for, such as availability searches.
	Normal
	// Sheddable is for work that can be retried later, such as browsing.
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
