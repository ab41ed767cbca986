package gate

import "math"

const (
	// totalSmoothingFactor is the weight of one window in the demand of all
	// teams, teamSmoothingFactor in that of one team. changeSmoothingFactor
	// replaces either when the window differs from the mean by more than
	// noiseDeviations standard deviations.
	totalSmoothingFactor  = 0.12
	teamSmoothingFactor   = 0.04
	changeSmoothingFactor = 0.5
	noiseDeviations       = 2.5
)

// demandCount is an EWMA of the requests per window, counting those that
// entries refused (see Ticket.Demand).
type demandCount struct {
	// sum is the demand of the current window, and squares the sum of the
	// squared demands, which estimates the variance of sum for random arrivals.
	sum     float64
	squares float64
	// mean and variance are the EWMAs of sum and squares.
	mean     float64
	variance float64
}

func (c *demandCount) add(requests float64) {
	c.sum += requests
	c.squares += requests * requests
}

// closeWindow adds the current window to the EWMAs. It uses smoothingFactor, or
// changeSmoothingFactor when sum is too far from the mean to be noise.
func (c *demandCount) closeWindow(smoothingFactor float64) {
	weight := smoothingFactor
	deviation := math.Sqrt(max(c.variance, c.squares, 1))
	if math.Abs(c.sum-c.mean) > noiseDeviations*deviation {
		weight = changeSmoothingFactor
	}
	c.mean += (c.sum - c.mean) * weight
	c.variance += (c.squares - c.variance) * weight
	c.sum, c.squares = 0, 0
}
