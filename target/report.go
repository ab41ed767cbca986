package target

import (
	"sync"

	"bergamotloom.example/traits"
)

// loadReport is the answer to GET /loom/load.
type loadReport struct {
	Running int
	Slots   int
}

type pastLoad struct {
	millis  int64
	running int
}

// reporter makes load reports that may lag, stick or lie.
type reporter struct {
	mutex sync.Mutex
	past  []pastLoad
	stuck *int
}

// sample keeps the load of this moment for reports that lag.
func (r *reporter) sample(nowMillis, lagMillis int64, running int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.past = append(r.past, pastLoad{nowMillis, running})
	for len(r.past) > 1 && r.past[1].millis <= nowMillis-lagMillis {
		r.past = r.past[1:]
	}
}

// report returns what the target says of its load.
func (r *reporter) report(t traits.Traits, running int) loadReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if t.Report != traits.ReportStuck {
		r.stuck = nil
	}
	return loadReport{Running: r.shown(t, running), Slots: t.Slots}
}

func (r *reporter) shown(t traits.Traits, running int) int {
	switch t.Report {
	case traits.ReportLagging:
		return r.oldest()
	case traits.ReportStuck:
		if r.stuck == nil {
			r.stuck = &running
		}
		return *r.stuck
	case traits.ReportLying:
		return 0
	default:
		return running
	}
}

func (r *reporter) oldest() int {
	if len(r.past) == 0 {
		return 0
	}
	return r.past[0].running
}
