package screen

import "bergamotloom.example/grade"

// maxUtilization is the fraction of the slots of a target without a rate limit
// that requests beyond the limits of other targets may use.
const maxUtilization = 0.9

// capacity sums up the gates of one service for requests of one grade. All sums
// are in requests per millisecond.
type capacity struct {
	// admitted is what the gates have capacity for, total the capacity of all.
	admitted, total float64
	// overLimit is the part of the rest that is beyond rate limits of targets,
	// spare the free capacity of the targets without one. The one goes to the
	// other before anything is refused.
	overLimit, spare float64
}

func (c *capacity) add(g gateState, priority grade.Grade) {
	admitted := g.cutoff.AdmittedFraction(priority) * g.requestsPerMilli
	c.admitted += admitted
	c.total += g.requestsPerMilli
	switch {
	case g.rateLimited:
		c.overLimit += g.requestsPerMilli - admitted
	case g.cutoff.IsFull():
		c.spare += max(maxUtilization-g.utilization, 0) * g.requestsPerMilli
	}
}

// admittedFraction returns the mean admitted fraction of the gates, weighted by
// their capacity.
func (c *capacity) admittedFraction() float64 {
	return (c.admitted + min(c.overLimit, c.spare)) / c.total
}
