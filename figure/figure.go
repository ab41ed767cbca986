// Package figure holds the figures of one team or route of a load.
package figure

// Figures says what became of the requests of one team or route.
type Figures struct {
	// Name is the team's or the route's, or "all".
	Name string
	// Requests counts arrivals, Sends also those that were sent again.
	Requests int64
	Sends    int64
	Served   int64
	Refused  int64
	Failed   int64
	Broken   int64
	Wrong    int64
	Unsent   int64
	// Reasons counts the ends other than Served by kind, reason and run state,
	// as in "Refused RateExceeded Never".
	Reasons map[string]int64
	// The time that served requests took, in milliseconds.
	P50Millis  float64
	P99Millis  float64
	P999Millis float64
	MaxMillis  float64
}
