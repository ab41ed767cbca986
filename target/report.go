package target

import (
	"sync"

	"bergamotloom.example/traits"
)

// loadReport is the response body of GET /loom/load. Running counts the running
// and the waiting requests.
type loadReport struct {
	Running int
	Slots   int
}

// pastLoad is the number of requests that ran and waited at a point in time.
type pastLoad struct {
	millis int64
	load   int
}

// reporter makes load reports that are true, delayed, stuck at a value or
// always zero.
type reporter struct {
	mutex     sync.Mutex
	past      []pastLoad
	stuckLoad *int
}

// sample keeps the current load for lagging reports.
func (r *reporter) sample(nowMillis, lagMillis int64, load int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.past = append(r.past, pastLoad{nowMillis, load})
	for len(r.past) > 1 && r.past[1].millis <= nowMillis-lagMillis {
		r.past = r.past[1:]
	}
}

// report returns the load that the target reports.
func (r *reporter) report(t traits.Traits, load int) loadReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if t.Report != traits.ReportStuck {
		r.stuckLoad = nil
	}
	return loadReport{Running: r.reportedLoad(t, load), Slots: t.Slots}
}

func (r *reporter) reportedLoad(t traits.Traits, load int) int {
	switch t.Report {
	case traits.ReportLagging:
		return r.oldestLoad()
	case traits.ReportStuck:
		if r.stuckLoad == nil {
			r.stuckLoad = &load
		}
		return *r.stuckLoad
	case traits.ReportLying:
		return 0
	default:
		return load
	}
}

func (r *reporter) oldestLoad() int {
	if len(r.past) == 0 {
		return 0
	}
	return r.past[0].load
}
