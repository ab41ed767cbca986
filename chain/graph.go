package chain

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/rank"
)

// service is one service of the deployment.
type service struct {
	name      string
	instances int
	slots     int
}

// step is a call that is made count times in a row, each with the child calls in
// steps.
type step struct {
	service    int
	workMillis float64
	count      int
	steps      []step
}

// kind is a kind of callers' requests. Its rate perSecond is that without
// overload.
type kind struct {
	name      string
	rank      rank.Rank
	perSecond float64
	entryStep step
	// A response within objectiveMillis has the full worth, one within
	// timeoutMillis lateWorthFraction of it.
	objectiveMillis float64
	timeoutMillis   float64
	worth           float64
}

func (k kind) grade() grade.Grade { return grade.New(0, false, k.rank) }

// lateWorthFraction is the fraction of its worth that a response has after its
// objective.
const lateWorthFraction = 0.3

// The indexes of services, in the order in which they call one another.
const (
	shop = iota
	order
	file
	stock
)

// services returns the services. All but the last have capacity for what the kinds
// send; the usual requests use five sixths of the last one's.
func services() []service {
	return []service{
		{"shop", 6, 40},
		{"order", 5, 40},
		{"file", 4, 30},
		{"stock", 3, 15},
	}
}

// kinds returns the kinds of requests. Browse and buy make ten calls each at the
// scarce service, check a single one.
func kinds() []kind {
	files := step{service: file, workMillis: 8, count: 2, steps: []step{{service: stock, workMillis: 12, count: 5}}}
	return []kind{
		{
			name: "browse", rank: rank.Sheddable, perSecond: 200, objectiveMillis: 1000, timeoutMillis: 3000, worth: 1,
			entryStep: step{service: shop, workMillis: 40, count: 1, steps: []step{files}},
		},
		{
			name: "buy", rank: rank.Critical, perSecond: 75, objectiveMillis: 1200, timeoutMillis: 3000, worth: 3,
			entryStep: step{service: order, workMillis: 60, count: 1, steps: []step{files}},
		},
		{
			name: "check", rank: rank.Normal, perSecond: 220, objectiveMillis: 300, timeoutMillis: 1500, worth: 2,
			entryStep: step{service: stock, workMillis: 20, count: 1},
		},
	}
}

// addSlotMillis adds the slot time that so many runs of the step, with their child
// calls, take at each service if nothing queues. It returns the run time of one.
func (s step) addSlotMillis(sums []float64, times float64) float64 {
	runMillis := s.workMillis
	for _, c := range s.steps {
		runMillis += c.addSlotMillis(sums, times*float64(s.count)) * float64(c.count)
	}
	sums[s.service] += runMillis * times * float64(s.count)
	return runMillis
}

// slotMillis returns the slot time of one request of the kind, by service.
func (k kind) slotMillis() []float64 {
	sums := make([]float64, len(services()))
	k.entryStep.addSlotMillis(sums, 1)
	return sums
}
