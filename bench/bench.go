// Package bench runs the decisions under load on a virtual clock: the code of
// the nodes at the sizes of real deployments, over call chains, with a small
// fake in the place of each target. The same run takes the same course for the
// same seed.
package bench

import (
	"github.com/pkg/errors"

	"bergamotloom.example/find"
	"bergamotloom.example/rank"
)

// Outcome holds the measures of one scenario at one deployment under one
// policy. Parts are between 0 and 1.
type Outcome struct {
	Scenario string
	Size     string
	Policy   string
	Seed     uint64
	// Goodput is the number of whole answers as a part of what the targets
	// could have served while the cause lasted.
	Goodput float64
	// Recovered says that goodput and latency came back after the cause,
	// RecoveryMillis how long after it.
	Recovered      bool
	RecoveryMillis float64
	// WorstTeam is the lowest of the teams' served parts of their fair parts.
	WorstTeam float64
	// Wrongful is the refused part of the requests that were inside their
	// team's rate while there was capacity.
	Wrongful float64
	// Refused is the refused part of each rank while the cause lasted.
	Refused [rank.Count]float64
	// Inverted is the part of critical requests that a service refused while
	// it served less important ones.
	Inverted float64
	// Wasted is the part of the targets' time spent on requests that failed.
	Wasted float64
	// Sends is the number of sends for each request, at the service where
	// it's highest.
	Sends float64
	// MedianMillis and TailMillis are the 50th and 99th percentile of the
	// latency while the cause lasted.
	MedianMillis float64
	TailMillis   float64
	// Timeline is the goodput in requests a second, one figure for each
	// StepMillis.
	Timeline []float64
}

// StepMillis is the step of an outcome's timeline in milliseconds.
const StepMillis = 500

const (
	medianPercent = 50
	tailPercent   = 99
)

// Run runs the named scenario at the named deployment under the named policy.
func Run(scenario, deployment, control string, seed uint64) (Outcome, error) {
	s, ok := find.ByName(scenes(), scenario, func(s scene) string { return s.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown scenario %q", scenario)
	}
	z, ok := find.ByName(sizes(), deployment, func(z size) string { return z.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown deployment %q", deployment)
	}
	p, ok := find.ByName(policies(), control, func(p policy) string { return p.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown policy %q", control)
	}
	w := newWorld(z, s, p, seed)
	w.play()
	return w.outcome(seed), nil
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	return find.Names(scenes(), func(s scene) string { return s.name })
}

// Deployments returns the names of the deployments.
func Deployments() []string {
	return find.Names(sizes(), func(z size) string { return z.name })
}

// Policies returns the names of the policies, this version last.
func Policies() []string {
	return find.Names(policies(), func(p policy) string { return p.name })
}

func (w *world) outcome(seed uint64) Outcome {
	t := w.tally
	o := Outcome{
		Scenario:     w.scene.name,
		Size:         w.size.name,
		Policy:       w.policy.name,
		Seed:         seed,
		Goodput:      t.goodput(),
		WorstTeam:    t.worstTeam(),
		Wrongful:     part(float64(t.wrongful), float64(t.ample)),
		Inverted:     t.inverted(),
		Wasted:       t.wasted(),
		Sends:        t.sendsPerRequest(),
		MedianMillis: float64(t.latency.ValueAtQuantile(medianPercent)) / microsPerMilli,
		TailMillis:   float64(t.latency.ValueAtQuantile(tailPercent)) / microsPerMilli,
	}
	o.RecoveryMillis, o.Recovered = t.recovery()
	for r := range o.Refused {
		o.Refused[r] = part(float64(t.refusals[r]), float64(t.asks[r]))
	}
	for i := 0; i+StepMillis/binMillis < len(t.bins); i += StepMillis / binMillis {
		o.Timeline = append(o.Timeline, t.span(i, StepMillis/binMillis).served*millisPerSecond/StepMillis)
	}
	return o
}
