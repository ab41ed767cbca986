package chain

import (
	"slices"
)

// tally counts the results of callers' requests. But for seconds and the slot
// time, it counts those sent during the disturbance.
type tally struct {
	requests        map[string]float64
	served          map[string]float64
	worth           float64
	possibleWorth   float64
	total           float64
	late            float64
	failed          float64
	refused         float64
	refusedTwice    float64
	latenciesMillis []float64
	// usefulMillis is the targets' time spent on attempts that were served,
	// wastedMillis that spent on others.
	usefulMillis, wastedMillis float64
	// seconds holds the worth and the highest possible worth, by the second of
	// sending.
	seconds []second
}

type second struct{ worth, possibleWorth float64 }

func newTally() tally {
	return tally{
		requests: make(map[string]float64), served: make(map[string]float64),
		seconds: make([]second, endMillis/millisPerSecond),
	}
}

// recordEnd records the end of a request.
func (t *tally) recordEnd(cr *callerRequest, k kind, o outcome, now float64) {
	worth := 0.0
	late := now-cr.sentMillis > k.objectiveMillis
	if o == served {
		worth = k.worth
		if late {
			worth *= lateWorthFraction
		}
	}
	s := &t.seconds[int(cr.sentMillis/millisPerSecond)]
	s.worth += worth
	s.possibleWorth += k.worth
	if cr.sentMillis < disturbanceStartMillis || cr.sentMillis >= disturbanceEndMillis {
		return
	}
	t.total++
	t.requests[k.name]++
	t.worth += worth
	t.possibleWorth += k.worth
	switch o {
	case served:
		t.served[k.name]++
		t.latenciesMillis = append(t.latenciesMillis, now-cr.sentMillis)
		if late {
			t.late++
		}
	case refused:
		t.refused++
	default:
		t.failed++
	}
	if cr.refusals > 1 {
		t.refusedTwice++
	}
}

// recordSlotTime records the slot time of an attempt.
func (t *tally) recordSlotTime(millis float64, o outcome) {
	if o == served {
		t.usefulMillis += millis
		return
	}
	t.wastedMillis += millis
}

func fraction(some, all float64) float64 {
	if all == 0 {
		return 0
	}
	return some / all
}

const tailQuantile = 0.99

func (w *world) outcome(seed uint64) Outcome {
	t := &w.tally
	o := Outcome{
		Pattern: w.pattern.name, Control: w.policy.name, Seed: seed,
		Worth: fraction(t.worth, t.possibleWorth), Bound: w.pattern.boundFraction(),
		Served: make(map[string]float64),
		Late:   fraction(t.late, t.total), Failed: fraction(t.failed, t.total), Refused: fraction(t.refused, t.total), Twice: fraction(t.refusedTwice, t.total),
		Wasted: fraction(t.wastedMillis, t.usefulMillis+t.wastedMillis),
	}
	for name, requests := range t.requests {
		o.Served[name] = fraction(t.served[name], requests)
	}
	slices.Sort(t.latenciesMillis)
	if len(t.latenciesMillis) > 0 {
		o.TailMillis = t.latenciesMillis[int(tailQuantile*float64(len(t.latenciesMillis)))]
	}
	for _, s := range t.seconds {
		o.Timeline = append(o.Timeline, fraction(s.worth, s.possibleWorth))
	}
	return o
}
