package gate

import (
	"math"

	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

const (
	// capacitySmoothingFactor is the weight of one window in the capacity,
	// capacityChangeSmoothingFactor the weight of a window that differs from the
	// average by more than the fraction capacityChangeBound.
	capacitySmoothingFactor       = 0.1
	capacityChangeSmoothingFactor = 0.5
	capacityChangeBound           = 0.4
	// longTermSmoothingFactor is the weight of one window in the long-term
	// capacity.
	longTermSmoothingFactor = 0.03
	// minUtilization is the utilization of the slots below which no capacity
	// is inferred.
	minUtilization = 0.1
	// minQueueFraction is the shortest desired queue, relative to the limit.
	minQueueFraction = 0.1
	// queueDeviations is how many standard deviations of a window's arrivals
	// the desired queue covers: two cover 95 windows of 100.
	queueDeviations = 2
	// maxQueueFraction bounds the desired queue, relative to the longest queue
	// allowed, so that requests above it aren't refused at once.
	maxQueueFraction = 0.7
	// correctionMillis is the time in which the plan brings the number of
	// requests at the gate to the desired one.
	correctionMillis = 400
	// freeSlotsFactor is how many times faster the correction is while slots
	// are free.
	freeSlotsFactor = 3
	// fairShareIterations is the number of bisection steps for the fair share.
	fairShareIterations = 16
)

// tier is a range of ranks whose capacity is divided together, by the weights
// of the teams.
type tier struct {
	first, last rank.Rank
}

// plan divides the capacity of the target in a window among the ranks and
// teams that request it, and derives the thresholds.
type plan struct {
	tiers []tier
	// capacity is an EWMA of the requests that the target can serve in a
	// window of windowMillis, longTermCapacity a slower one without short
	// changes.
	capacity         float64
	longTermCapacity float64
	threshold        level.Level
}

// newPlan returns a plan that divides the capacity by rank, and within a rank
// among teams. With teamsFirst it divides the normal and sheddable ranks among
// teams together, and rank only counts within a team.
func newPlan(teamsFirst bool) plan {
	p := plan{threshold: level.Full}
	p.tiers = []tier{{rank.Critical, rank.Critical}, {rank.Normal, rank.Normal}, {rank.Sheddable, rank.Sheddable}}
	if teamsFirst {
		p.tiers = []tier{{rank.Critical, rank.Critical}, {rank.Normal, rank.Sheddable}}
	}
	return p
}

// update takes the measurements of the window, the limit, the number of
// requests at the gate now and the longest queue allowed.
func (p *plan) update(m *meter, tt *teamTable, limit, requests, maxQueue int) {
	p.updateCapacity(m, m.utilization(limit))
	tt.closeWindow()
	// deficit is how many requests should be added at the gate; it's negative
	// when too many are there.
	deficit := float64(limit) + p.desiredQueue(limit, maxQueue) - float64(requests)
	if requests < limit {
		deficit *= freeSlotsFactor
	}
	p.allocate(max(p.capacity+deficit*windowMillis/correctionMillis, 0), tt)
}

// desiredQueue returns the desired length of the queue. Between two thresholds
// the number of arrivals varies by about the square root of the number that a
// window serves; a shorter queue runs empty and leaves slots idle.
func (p *plan) desiredQueue(limit, maxQueue int) float64 {
	return max(float64(limit)*minQueueFraction, min(queueDeviations*math.Sqrt(p.capacity), float64(maxQueue)*maxQueueFraction))
}

// updateCapacity infers what the target could have served in the window: the
// requests that ended, divided by the utilization of the slots.
func (p *plan) updateCapacity(m *meter, utilization float64) {
	if utilization < minUtilization {
		return
	}
	p.capacity = smoothCapacity(p.capacity, float64(m.ended)/min(utilization, 1))
	p.longTermCapacity += (p.capacity - p.longTermCapacity) * longTermSmoothingFactor
}

// smoothCapacity returns the EWMA updated with a measured value. A large
// difference gets a larger smoothing factor, as it's a change and not noise.
func smoothCapacity(average, measured float64) float64 {
	weight := capacitySmoothingFactor
	if math.Abs(measured-average) > average*capacityChangeBound {
		weight = capacityChangeSmoothingFactor
	}
	return average + (measured-average)*weight
}

// allocate divides the available capacity among the tiers in order of priority
// and sets the levels of the teams. The threshold is the level of the least restricted team.
func (p *plan) allocate(available float64, tt *teamTable) {
	for _, ts := range tt.all {
		ts.allocated = 0
		ts.level = level.Full
	}
	p.threshold = level.Full
	if p.capacity == 0 {
		// Not measured yet: admit everything.
		return
	}
	for _, t := range p.tiers {
		requested := t.sumRequested(tt)
		if t.last == rank.Critical {
			// Neither a backlog of lower ranks nor a short drop of the
			// capacity may restrict the critical rank.
			available = max(available, min(requested, p.longTermCapacity))
		}
		if requested > available {
			p.threshold = t.restrict(available, tt)
			return
		}
		available -= requested
		t.allocateAll(tt)
	}
}

// sumRequested sets and sums up what the teams request in the tier.
func (t tier) sumRequested(tt *teamTable) float64 {
	total := 0.0
	for _, ts := range tt.all {
		ts.requested = 0
		for r := t.first; r <= t.last; r++ {
			ts.requested += ts.demand[r]
		}
		total += ts.requested
	}
	return total
}

func (t tier) allocateAll(tt *teamTable) {
	for _, ts := range tt.all {
		ts.allocated += ts.requested
	}
}

// restrict sets the levels when the tier requests more than is available, and
// returns the highest.
func (t tier) restrict(available float64, tt *teamTable) level.Level {
	fairShare := t.fairShare(available, tt)
	highest := level.Level(0)
	for _, ts := range tt.all {
		ts.level = t.level(ts, ts.allocation(fairShare))
		highest = max(highest, ts.level)
	}
	return highest
}

// fairShare returns the allocation per unit of weight, in requests a window, up
// to which teams get what they request, such that the sum is what is available.
func (t tier) fairShare(available float64, tt *teamTable) float64 {
	low, high := 0.0, 0.0
	for _, ts := range tt.all {
		high = max(high, (ts.allocated+ts.requested)/ts.weight)
	}
	for range fairShareIterations {
		middle := (low + high) / 2
		sum := 0.0
		for _, ts := range tt.all {
			sum += ts.allocation(middle)
		}
		if sum > available {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// allocation returns what the team gets in the tier at the fair share.
func (ts *teamState) allocation(fairShare float64) float64 {
	return min(ts.requested, max(fairShare*ts.weight-ts.allocated, 0))
}

// level returns the level that admits this many of the team's requests in the
// tier, the more important ranks first.
func (t tier) level(ts *teamState, allocation float64) level.Level {
	for r := t.first; r <= t.last; r++ {
		if ts.demand[r] > allocation {
			return level.New(r, allocation/ts.demand[r])
		}
		allocation -= ts.demand[r]
	}
	return level.New(t.last, 1)
}
