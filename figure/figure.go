// Package figure holds the results of one team or route of a load.
package figure

// Figures counts the requests of one team or route by their outcome.
type Figures struct {
	// Name is the name of the team or route, or "all".
	Name string
	// Requests counts arrivals, Sends all sends including resends.
	Requests int64
	Sends    int64
	Served   int64
	Refused  int64
	Failed   int64
	Broken   int64
	Wrong    int64
	Unsent   int64
	// Reasons counts the outcomes other than Served by kind, reason and run state,
	// as in "Refused RateExceeded Never".
	Reasons map[string]int64
	// Percentiles and maximum of the latency of served requests, in
	// milliseconds.
	P50Millis  float64
	P99Millis  float64
	P999Millis float64
	MaxMillis  float64
}
