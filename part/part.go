// Package part holds one part of a route whose requests are split between
// services.
package part

// Part is a service and the weight of its fraction of a route's requests.
type Part struct {
	// Service names the service that runs this part.
	Service string
	// Weight sets the fraction of the requests, relative to the other parts'
	// weights.
	Weight float64
}
