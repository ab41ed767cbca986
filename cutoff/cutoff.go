// Package cutoff holds the admission threshold that gates tell the entries.
package cutoff

import "bergamotloom.example/grade"

// Cutoff is how many grades are let in, most important first: 3.4 lets in
// grades 0 to 2 whole, 40% of grade 3 and nothing else.
type Cutoff float32

// Full lets everything in.
const Full Cutoff = grade.Count

// New returns the cutoff that lets in a share (0 to 1) of one grade and all of
// the more important ones.
func New(g grade.Grade, share float64) Cutoff {
	return Cutoff(float64(g) + share)
}

// leastShare of each grade is let in, so that no kind of request starves.
const leastShare = 0.1

// Share returns the part of a grade's requests that is let in.
func (c Cutoff) Share(g grade.Grade) float64 {
	return min(max(float64(c)-float64(g), leastShare), 1)
}
