// Package cutoff computes the admission threshold that gates send to the entries.
package cutoff

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/rank"
)

// Cutoff is an admission threshold. Methods return changed copies.
type Cutoff struct {
	// Grades is the number of grades that are admitted, most important first: 3.4
	// admits grades 0 to 2 whole, 40% of grade 3 beyond its minimum fraction, and
	// of the other grades only their minimum fractions.
	Grades float64
	// MinFractionScale, from 0 to 1, is a factor of the minimum fractions. It's
	// below 1 if they would take more than the headroom reserved for them.
	MinFractionScale float64
}

// minFractions is, by the rank of the route, the fraction of a grade that is
// admitted even if the threshold excludes the grade. It keeps every kind of
// request from starving, and makes critical routes of any team the last to be
// refused.
var minFractions = [rank.Count]float64{rank.Critical: 0.6, rank.Normal: 0.4, rank.Sheddable: 0.1}

// maxReservedFraction bounds the fraction of the headroom that the minimum
// fractions take. Demand includes the retries of callers, so the minimum
// fractions could otherwise take all of it.
const maxReservedFraction = 0.4

// Full returns the threshold that admits everything.
func Full() Cutoff {
	return Cutoff{Grades: grade.Count, MinFractionScale: 1}
}

// New returns the threshold that admits all grades more important than g, and of
// g its minimum fraction and this fraction (0 to 1) of the rest.
func New(g grade.Grade, fraction float64) Cutoff {
	return Cutoff{Grades: float64(g) + fraction, MinFractionScale: 1}
}

// WithGrades returns the threshold with another number of grades.
func (c Cutoff) WithGrades(grades float64) Cutoff {
	c.Grades = grades
	return c
}

// AdmittedFraction returns the fraction (0 to 1) of a grade's requests that is
// admitted.
func (c Cutoff) AdmittedFraction(g grade.Grade) float64 {
	minFraction := c.minFraction(g)
	return minFraction + (1-minFraction)*min(max(c.Grades-float64(g), 0), 1)
}

func (c Cutoff) minFraction(g grade.Grade) float64 {
	return minFractions[g.RouteRank()] * c.MinFractionScale
}

// IsFull reports whether everything is admitted.
func (c Cutoff) IsFull() bool {
	return c.Grades >= grade.Count
}

// Fit returns the threshold that admits as much of the demand as the headroom
// allows, most important grades first. Demand, by grade, and headroom are in the
// same unit, such as fractions of a target's capacity.
func Fit(demand [grade.Count]float64, headroom float64) Cutoff {
	reserved := 0.0
	for g, work := range demand {
		reserved += minFractions[grade.Grade(g).RouteRank()] * work
	}
	c := Cutoff{MinFractionScale: 1}
	if reserved > maxReservedFraction*headroom {
		c.MinFractionScale = maxReservedFraction * headroom / reserved
	}
	headroom -= reserved * c.MinFractionScale
	for g, work := range demand {
		beyondMin := (1 - c.minFraction(grade.Grade(g))) * work
		if beyondMin > headroom {
			return c.WithGrades(float64(g) + headroom/beyondMin)
		}
		headroom -= beyondMin
	}
	return Full()
}
