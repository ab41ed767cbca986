package bench

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

// Draw writes a plot of the goodput over time of each outcome to the file,
// whose extension tells the format: .svg or .png.
func Draw(file string, all []Outcome) error {
	p := plot.New()
	p.Title.Text = "Goodput over time"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "whole answers a second"
	p.Legend.Top = true
	for i, o := range all {
		l, err := plotter.NewLine(points(o))
		if err != nil {
			return errors.Wrapf(err, "drawing %s under %s", o.Scenario, o.Policy)
		}
		l.Color = plotutil.Color(i)
		l.Dashes = plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(o.Size+" "+o.Scenario+" "+o.Policy, l)
	}
	return errors.Wrapf(p.Save(chartWidth, chartHeight, file), "writing the plot %s", file)
}

func points(o Outcome) plotter.XYs {
	var line plotter.XYs
	for i, y := range o.Timeline {
		line = append(line, plotter.XY{X: float64(i*StepMillis) / millisPerSecond, Y: y})
	}
	return line
}
