// Package bench simulates overload on a virtual clock. It runs the nodes' own
// decision code at the sizes of real deployments, over chains of calls, with a
// simulated target beside each node. Equal seeds give equal outcomes.
package bench

import (
	"github.com/pkg/errors"

	"bergamotloom.example/find"
	"bergamotloom.example/rank"
)

// Outcome holds the measures of one scenario at one deployment under one
// policy. Fractions are between 0 and 1.
type Outcome struct {
	Scenario string
	Size     string
	Policy   string
	Seed     uint64
	// Goodput is the number of complete responses during the disturbance, as a
	// fraction of what the targets could have served.
	Goodput float64
	// Recovered says that goodput and latency returned to normal after the
	// disturbance, RecoveryMillis how long that took.
	Recovered      bool
	RecoveryMillis float64
	// WorstTeam is the lowest served fraction of a fair share among the teams.
	WorstTeam float64
	// Wrongful is the refused fraction of the requests that were within their
	// team's rate while there was capacity.
	Wrongful float64
	// Refused is the refused fraction of each rank during the disturbance.
	Refused [rank.Count]float64
	// Inverted is the fraction of critical requests that a service refused
	// while it served less important ones.
	Inverted float64
	// Wasted is the fraction of the targets' time spent on failed requests.
	Wasted float64
	// Sends is the number of attempts per admitted request, at the service
	// where it's highest.
	Sends float64
	// MedianMillis and TailMillis are the 50th and 99th percentile of the
	// latency during the disturbance.
	MedianMillis float64
	TailMillis   float64
	// Timeline is the goodput in requests a second, one value for each
	// StepMillis.
	Timeline []float64
}

// StepMillis is the step of an outcome's timeline, in milliseconds.
const StepMillis = 500

const (
	medianPercent = 50
	tailPercent   = 99
)

// Run simulates the named scenario at the named deployment under the named
// policy. A name that isn't known is an error.
func Run(scenarioName, deploymentName, policyName string, seed uint64) (Outcome, error) {
	s, ok := find.ByName(scenarios(), scenarioName, func(s scenario) string { return s.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown scenario %q", scenarioName)
	}
	z, ok := find.ByName(deployments(), deploymentName, func(z deployment) string { return z.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown deployment %q", deploymentName)
	}
	p, ok := find.ByName(policies(), policyName, func(p policy) string { return p.name })
	if !ok {
		return Outcome{}, errors.Errorf("unknown policy %q", policyName)
	}
	w := newWorld(z, s, p, seed)
	w.run()
	return w.outcome(seed), nil
}

// Scenarios returns the names of the scenarios.
func Scenarios() []string {
	return find.Names(scenarios(), func(s scenario) string { return s.name })
}

// Deployments returns the names of the deployments.
func Deployments() []string {
	return find.Names(deployments(), func(z deployment) string { return z.name })
}

// Policies returns the names of the policies; those of this project come last.
func Policies() []string {
	return find.Names(policies(), func(p policy) string { return p.name })
}

func (w *world) outcome(seed uint64) Outcome {
	t := w.tally
	o := Outcome{
		Scenario:     w.scenario.name,
		Size:         w.deployment.name,
		Policy:       w.policy.name,
		Seed:         seed,
		Goodput:      t.goodput(),
		WorstTeam:    t.worstTeam(),
		Wrongful:     fraction(float64(t.wrongful), float64(t.requestsWithCapacity)),
		Inverted:     t.inverted(),
		Wasted:       t.wasted(),
		Sends:        t.attemptsPerRequest(),
		MedianMillis: float64(t.latency.ValueAtQuantile(medianPercent)) / microsPerMilli,
		TailMillis:   float64(t.latency.ValueAtQuantile(tailPercent)) / microsPerMilli,
	}
	o.RecoveryMillis, o.Recovered = t.recovery()
	for r := range o.Refused {
		o.Refused[r] = fraction(float64(t.refusedByRank[r]), float64(t.requestsByRank[r]))
	}
	for i := 0; i+StepMillis/binMillis < len(t.bins); i += StepMillis / binMillis {
		o.Timeline = append(o.Timeline, t.window(i, StepMillis/binMillis).served*millisPerSecond/StepMillis)
	}
	return o
}
