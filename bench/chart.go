package bench

import "bergamotloom.example/chart"

// Draw plots the goodput of each outcome over time. The extension of the file,
// .svg or .png, selects the format.
func Draw(file string, all []Outcome) error {
	c := chart.New("Goodput over time", "whole answers a second")
	for _, o := range all {
		if err := c.Add(o.Size+" "+o.Scenario+" "+o.Policy, o.Timeline, float64(StepMillis)/millisPerSecond); err != nil {
			return err
		}
	}
	return c.Write(file)
}
