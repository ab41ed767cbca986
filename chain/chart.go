package chain

import "bergamotloom.example/chart"

// Draw plots the worth of each outcome over time. The extension of the file, .svg
// or .png, selects the format.
func Draw(file string, all []Outcome) error {
	c := chart.New("Worth of the requests of each second", "part of what all would be worth")
	for _, o := range all {
		if err := c.Add(o.Pattern+" "+o.Control, o.Timeline, 1); err != nil {
			return err
		}
	}
	return c.Write(file)
}
