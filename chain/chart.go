package chain

import "bergamotloom.example/chart"

// Draw writes a plot of the worth over time of each outcome to the file, whose
// extension tells the format: .svg or .png.
func Draw(file string, all []Outcome) error {
	c := chart.New("Worth of the requests of each second", "part of what all would be worth")
	for _, o := range all {
		if err := c.Add(o.Pattern+" "+o.Control, o.Timeline, 1); err != nil {
			return err
		}
	}
	return c.Write(file)
}
