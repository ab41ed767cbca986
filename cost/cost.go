// Package cost holds what the way through nodes was measured to cost.
package cost

import "bergamotloom.example/figure"

// Cost compares, at one rate, asking a target directly and through nodes.
type Cost struct {
	// Rate is the mean number of requests a second.
	Rate    float64
	Direct  figure.Figures
	Through figure.Figures
	// CPUMicros is the processor time of all nodes together for one request,
	// in microseconds, over what they use while not asked.
	CPUMicros float64
}

// AddedMillis returns the differences of the 50th, 99th and 99.9th percentiles
// of the time of a request, in milliseconds.
func (c Cost) AddedMillis() (p50, p99, p999 float64) {
	return c.Through.P50Millis - c.Direct.P50Millis,
		c.Through.P99Millis - c.Direct.P99Millis,
		c.Through.P999Millis - c.Direct.P999Millis
}
