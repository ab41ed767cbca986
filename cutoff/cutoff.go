// Package cutoff holds the admission threshold that gates tell the entries.
package cutoff

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/rank"
)

// Cutoff is an admission threshold. It's a value.
type Cutoff struct {
	// Grades is how many grades are let in, most important first: 3.4 lets in
	// grades 0 to 2 whole, 40% of grade 3 and of the others their least share.
	Grades float64
	// MinFractionScale is the part of the least shares that there's room for.
	MinFractionScale float64
}

// leastShares are the parts of the grades that are let in whatever the teams'
// ranks are, by the rank of the route: no kind of request starves, and what
// matters to every team is refused last.
var leastShares = [rank.Count]float64{rank.Critical: 0.6, rank.Normal: 0.4, rank.Sheddable: 0.1}

// leastRoom is the part of the room that the least shares take at most. Demand
// is counted with the repeats of callers, so they might fill all of it.
const leastRoom = 0.4

// Full returns the threshold that lets everything in.
func Full() Cutoff {
	return Cutoff{Grades: grade.Count, MinFractionScale: 1}
}

// New returns the threshold that lets in a share (0 to 1) of one grade and all
// of the more important ones.
func New(g grade.Grade, share float64) Cutoff {
	return Cutoff{Grades: float64(g) + share, MinFractionScale: 1}
}

// WithGrades returns the threshold with another number of grades.
func (c Cutoff) WithGrades(grades float64) Cutoff {
	c.Grades = grades
	return c
}

// AdmittedFraction returns the part of a grade's requests that is let in.
func (c Cutoff) AdmittedFraction(g grade.Grade) float64 {
	least := c.least(g)
	return least + (1-least)*min(max(c.Grades-float64(g), 0), 1)
}

func (c Cutoff) least(g grade.Grade) float64 {
	return leastShares[g.Route()] * c.MinFractionScale
}

// IsFull tells whether everything is let in.
func (c Cutoff) IsFull() bool {
	return c.Grades >= grade.Count
}

// Fit returns the threshold that lets in as much of the demand, by grades, as
// there's room for.
func Fit(demand [grade.Count]float64, room float64) Cutoff {
	sum := 0.0
	for g, work := range demand {
		sum += leastShares[grade.Grade(g).Route()] * work
	}
	c := Cutoff{MinFractionScale: 1}
	if sum > leastRoom*room {
		c.MinFractionScale = leastRoom * room / sum
	}
	room -= sum * c.MinFractionScale
	for g, work := range demand {
		more := (1 - c.least(grade.Grade(g))) * work
		if more > room {
			return c.WithGrades(float64(g) + room/more)
		}
		room -= more
	}
	return Full()
}
