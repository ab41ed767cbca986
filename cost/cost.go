// Package cost holds the measured cost of sending requests through nodes.
package cost

import "bergamotloom.example/figure"

// Cost compares requests sent directly to a target and through nodes, at one
// rate.
type Cost struct {
	// Rate is the mean number of requests a second.
	Rate    float64
	Direct  figure.Figures
	Through figure.Figures
	// CPUMicros is the CPU time of all nodes together for one request, in
	// microseconds, beyond what they use without requests.
	CPUMicros float64
}

// AddedMillis returns the differences of the 50th, 99th and 99.9th percentiles
// of the latency, in milliseconds.
func (c Cost) AddedMillis() (p50, p99, p999 float64) {
	return c.Through.P50Millis - c.Direct.P50Millis,
		c.Through.P99Millis - c.Direct.P99Millis,
		c.Through.P999Millis - c.Direct.P999Millis
}
