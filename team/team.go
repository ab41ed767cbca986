// Package team holds the configuration of one team.
package team

import "bergamotloom.example/rank"

// Team is a customer that sends requests. It's a value and never changes.
type Team struct {
	// Name identifies the team in the configuration, reports and logs.
	Name string
	// Rate is the number of requests a second that the team may send, counted
	// over all nodes together.
	Rate float64
	// Burst is the size of the team's token bucket, in requests.
	Burst float64
	// Rank has precedence over the rank of the route if Ranked is set.
	Rank   rank.Rank
	Ranked bool
	// Keys holds the hashes of the team's keys, as `key new` prints them.
	Keys []string
}

// WithKeys returns the team with other key hashes.
func (t Team) WithKeys(keys []string) Team {
	t.Keys = keys
	return t
}

// WithRate returns the team with another rate (requests a second) and burst.
func (t Team) WithRate(rate, burst float64) Team {
	t.Rate = rate
	t.Burst = burst
	return t
}
