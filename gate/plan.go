package gate

import (
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

const (
	// capacityShare is how far one window moves the known capacity.
	capacityShare = 0.4
	// demandFast is the same for the demand of a rank.
	demandFast = 0.4
	// leastBusy is the use of the slots below which no capacity is inferred.
	leastBusy = 0.1
	// targetWaitMillis is the mean wait in the queue that the plan aims at.
	targetWaitMillis = 10
	// cutPerMilli is the part of the capacity held back for each millisecond
	// of wait above the target, so that the queue drains.
	cutPerMilli = 0.005
	// mostCut bounds that.
	mostCut = 0.3
	// headroom is what is asked for beyond the capacity while the wait is
	// below its target.
	headroom = 1.03
	// mostShare keeps a threshold inside the rank that it restricts.
	mostShare = 1 - 1.0/level.Steps
)

// plan works out the threshold: what the target can do in a window against
// the demand of each rank.
type plan struct {
	capacity  float64
	demand    [rank.Count]float64
	threshold level.Level
}

func newPlan() plan {
	return plan{threshold: level.Full}
}

func (p *plan) judge(m *meter, s *shares, limit int) {
	p.learn(m, m.busy(limit))
	p.threshold = p.divide(p.wanted(m.wait()), s)
}

// learn takes the window's figures: what ended over the use of the slots is
// what the target could have done.
func (p *plan) learn(m *meter, busy float64) {
	for r := range p.demand {
		p.demand[r] += (m.demand[r] - p.demand[r]) * demandFast
	}
	if busy < leastBusy {
		return
	}
	could := float64(m.ended) / min(busy, 1)
	if p.capacity == 0 {
		p.capacity = could
		return
	}
	p.capacity += (could - p.capacity) * capacityShare
}

// wanted returns how many requests a window should bring.
func (p *plan) wanted(waitMillis float64) float64 {
	if waitMillis <= targetWaitMillis {
		return p.capacity * headroom
	}
	return p.capacity * (1 - min((waitMillis-targetWaitMillis)*cutPerMilli, mostCut))
}

// divide gives what there is to the ranks in their order, and the part of the
// rank that gets only some to the teams by their weights.
func (p *plan) divide(left float64, s *shares) level.Level {
	if p.capacity > 0 {
		for r := rank.Critical; r < rank.Count; r++ {
			if demand := p.demand[r]; demand > left {
				return level.New(r, min(s.judge(left/demand), mostShare))
			}
			left -= p.demand[r]
		}
	}
	s.judge(1)
	return level.Full
}
