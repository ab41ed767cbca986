package bench

import "bergamotloom.example/chart"

// Draw writes a plot of the goodput over time of each outcome to the file,
// whose extension tells the format: .svg or .png.
func Draw(file string, all []Outcome) error {
	c := chart.New("Goodput over time", "whole answers a second")
	for _, o := range all {
		if err := c.Add(o.Size+" "+o.Scenario+" "+o.Policy, o.Timeline, float64(StepMillis)/millisPerSecond); err != nil {
			return err
		}
	}
	return c.Write(file)
}
