package gate

import "math"

const (
	// totalSmoothingFactor is the weight of one window in the demand of all
	// teams, teamSmoothingFactor in that of one team. changeSmoothingFactor
	// replaces either when the window differs by more than noiseDeviations
	// standard deviations.
	totalSmoothingFactor  = 0.12
	teamSmoothingFactor   = 0.04
	changeSmoothingFactor = 0.5
	noiseDeviations       = 2.5
)

// demandCount is an EWMA of the requests that ask for something in a window.
// Each request that arrives may stand for several, as entries refuse the
// others.
type demandCount struct {
	// sum and squares belong to the current window.
	sum     float64
	squares float64
	// mean is the count of an average window, variance its variance.
	mean     float64
	variance float64
}

func (c *demandCount) add(requests float64) {
	c.sum += requests
	c.squares += requests * requests
}

// closeWindow adds the current window to the EWMA: with the smoothing factor
// for the noise of random arrivals, with a larger one after a change.
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
