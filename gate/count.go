package gate

import "math"

const (
	// calmTotal is how far one window moves the count of all teams, calmTeam
	// that of one team, and fastCount either when it's off by more than noise
	// standard deviations.
	calmTotal = 0.12
	calmTeam  = 0.04
	fastCount = 0.5
	noise     = 2.5
)

// count follows how many requests ask for something in a window. Each request
// that arrives may stand for several, as entries refuse the others.
type count struct {
	// sum and squares are of the window under way.
	sum     float64
	squares float64
	// usual is the count of a usual window, spread its variance.
	usual  float64
	spread float64
}

func (c *count) add(standsFor float64) {
	c.sum += standsFor
	c.squares += standsFor * standsFor
}

// learn closes the window. It follows by the calm step through the noise of
// random arrivals and fast after a change.
func (c *count) learn(calm float64) {
	step := calm
	deviation := math.Sqrt(max(c.spread, c.squares, 1))
	if math.Abs(c.sum-c.usual) > noise*deviation {
		step = fastCount
	}
	c.usual += (c.sum - c.usual) * step
	c.spread += (c.squares - c.spread) * step
	c.sum, c.squares = 0, 0
}
