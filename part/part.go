// Package part holds one part of a route whose requests are split between
// services.
package part

// Part is a service and its share of a route's requests.
type Part struct {
	// Service names the service that runs this part.
	Service string
	// Weight is the part's share, in proportion to the other parts' weights.
	Weight float64
}
