package target

import (
	"sync"

	"bergamotloom.example/traits"
)

// loadReport is the response body of GET /loom/load.
type loadReport struct {
	Running int
	Slots   int
}

// pastLoad is the number of requests that ran and waited at a point in time.
type pastLoad struct {
	millis  int64
	running int
}

// reporter makes load reports that are true, delayed, stuck at a value or
// always zero.
type reporter struct {
	mutex        sync.Mutex
	past         []pastLoad
	stuckRunning *int
}

// sample keeps the current load for lagging reports.
func (r *reporter) sample(nowMillis, lagMillis int64, running int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.past = append(r.past, pastLoad{nowMillis, running})
	for len(r.past) > 1 && r.past[1].millis <= nowMillis-lagMillis {
		r.past = r.past[1:]
	}
}

// report returns the load that the target reports.
func (r *reporter) report(t traits.Traits, running int) loadReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if t.Report != traits.ReportStuck {
		r.stuckRunning = nil
	}
	return loadReport{Running: r.reportedRunning(t, running), Slots: t.Slots}
}

func (r *reporter) reportedRunning(t traits.Traits, running int) int {
	switch t.Report {
	case traits.ReportLagging:
		return r.oldestRunning()
	case traits.ReportStuck:
		if r.stuckRunning == nil {
			r.stuckRunning = &running
		}
		return *r.stuckRunning
	case traits.ReportLying:
		return 0
	default:
		return running
	}
}

func (r *reporter) oldestRunning() int {
	if len(r.past) == 0 {
		return 0
	}
	return r.past[0].running
}
