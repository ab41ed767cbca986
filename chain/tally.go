package chain

import (
	"slices"
)

// tally counts what became of the requests that callers sent.
type tally struct {
	asked    map[string]float64
	answered map[string]float64
	worth    float64
	could    float64
	all      float64
	late     float64
	failed   float64
	refused  float64
	twice    float64
	took     []float64
	// good and bad are the targets' time spent on requests that were answered
	// and on those that weren't.
	good, bad float64
	// seconds holds worth and what it could have been by the time of sending.
	seconds []second
}

type second struct{ worth, could float64 }

func newTally() tally {
	return tally{
		asked: make(map[string]float64), answered: make(map[string]float64),
		seconds: make([]second, stopAt/millisPerSecond),
	}
}

// ended takes the end of a request.
func (t *tally) ended(e *errand, k kind, o outcome, now float64) {
	worth := 0.0
	late := now-e.sentAt > k.goal
	if o == served {
		worth = k.worth
		if late {
			worth *= latePart
		}
	}
	s := &t.seconds[int(e.sentAt/millisPerSecond)]
	s.worth += worth
	s.could += k.worth
	if e.sentAt < causeAt || e.sentAt >= causeEnd {
		return
	}
	t.all++
	t.asked[k.name]++
	t.worth += worth
	t.could += k.worth
	switch o {
	case served:
		t.answered[k.name]++
		t.took = append(t.took, now-e.sentAt)
		if late {
			t.late++
		}
	case refused:
		t.refused++
	default:
		t.failed++
	}
	if e.refusals > 1 {
		t.twice++
	}
}

// spent takes the targets' time that one try took.
func (t *tally) spent(millis float64, o outcome) {
	if o == served {
		t.good += millis
		return
	}
	t.bad += millis
}

func part(a, of float64) float64 {
	if of == 0 {
		return 0
	}
	return a / of
}

const tailPart = 0.99

func (w *world) outcome(seed uint64) Outcome {
	t := &w.tally
	o := Outcome{
		Pattern: w.pattern.name, Control: w.policy.name, Seed: seed,
		Worth: part(t.worth, t.could), Bound: w.pattern.boundPart(),
		Served: make(map[string]float64),
		Late:   part(t.late, t.all), Failed: part(t.failed, t.all), Refused: part(t.refused, t.all), Twice: part(t.twice, t.all),
		Wasted: part(t.bad, t.good+t.bad),
	}
	for name, asked := range t.asked {
		o.Served[name] = part(t.answered[name], asked)
	}
	slices.Sort(t.took)
	if len(t.took) > 0 {
		o.TailMillis = t.took[int(tailPart*float64(len(t.took)))]
	}
	for _, s := range t.seconds {
		o.Timeline = append(o.Timeline, part(s.worth, s.could))
	}
	return o
}
