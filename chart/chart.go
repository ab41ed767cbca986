// Package chart draws line charts over time and writes them to files.
package chart

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Chart is a line chart whose horizontal axis shows seconds.
type Chart struct {
	plot  *plot.Plot
	lines int
}

// New returns an empty chart; verticalLabel is the label of the vertical axis.
func New(title, verticalLabel string) *Chart {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = verticalLabel
	p.Legend.Top = true
	return &Chart{plot: p}
}

// Add draws a line with one value every stepSeconds.
func (c *Chart) Add(name string, values []float64, stepSeconds float64) error {
	var points plotter.XYs
	for i, y := range values {
		points = append(points, plotter.XY{X: float64(i) * stepSeconds, Y: y})
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "chart: drawing %s", name)
	}
	l.Color = plotutil.Color(c.lines)
	l.Dashes = plotutil.Dashes(c.lines)
	c.lines++
	c.plot.Add(l)
	c.plot.Legend.Add(name, l)
	return nil
}

// Write writes the chart to the file, in the format of its extension: .svg or
// .png.
func (c *Chart) Write(file string) error {
	return errors.Wrapf(c.plot.Save(width, height, file), "chart: writing %s", file)
}
