package chain

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 12 * vg.Centimeter
)

// Draw writes a plot of the worth over time of each outcome to the file, whose
// extension tells the format: .svg or .png.
func Draw(file string, all []Outcome) error {
	p := plot.New()
	p.Title.Text = "Worth of the requests of each second"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "part of what all would be worth"
	p.Y.Min, p.Y.Max = 0, 1
	for i, o := range all {
		var points plotter.XYs
		for second, worth := range o.Timeline {
			points = append(points, plotter.XY{X: float64(second), Y: worth})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "drawing %s under %s", o.Pattern, o.Control)
		}
		l.Color = plotutil.Color(i)
		l.Dashes = plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(o.Pattern+" "+o.Control, l)
	}
	return errors.Wrapf(p.Save(chartWidth, chartHeight, file), "writing the plot %s", file)
}
