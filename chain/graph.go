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

// step is a call that a run makes, times in a row, each with its own steps.
type step struct {
	service int
	work    float64
	times   int
	steps   []step
}

// kind is a kind of callers' requests.
type kind struct {
	name  string
	rank  rank.Rank
	perS  float64
	first step
	// goal is the time in which an answer is worth all, timeout the time in
	// which it's worth latePart of that, in milliseconds.
	goal    float64
	timeout float64
	worth   float64
}

func (k kind) grade() grade.Grade { return grade.New(0, false, k.rank) }

// latePart of its worth is what an answer has after its objective.
const latePart = 0.3

// The services in the order in which they call one another.
const (
	shop = iota
	order
	file
	stock
)

// services have room for what the kinds send, but for the last one, which a
// usual second takes to five sixths.
func services() []service {
	return []service{
		{"shop", 6, 40},
		{"order", 5, 40},
		{"file", 4, 30},
		{"stock", 3, 15},
	}
}

// kinds are what callers send: browse and buy make ten calls each at the
// scarce service, check is one run there.
func kinds() []kind {
	files := step{service: file, work: 8, times: 2, steps: []step{{service: stock, work: 12, times: 5}}}
	return []kind{
		{
			name: "browse", rank: rank.Sheddable, perS: 200, goal: 1000, timeout: 3000, worth: 1,
			first: step{service: shop, work: 40, times: 1, steps: []step{files}},
		},
		{
			name: "buy", rank: rank.Critical, perS: 75, goal: 1200, timeout: 3000, worth: 3,
			first: step{service: order, work: 60, times: 1, steps: []step{files}},
		},
		{
			name: "check", rank: rank.Normal, perS: 220, goal: 300, timeout: 1500, worth: 2,
			first: step{service: stock, work: 20, times: 1},
		},
	}
}

// use adds up the slot time that so many of the step take of each service at
// least, with their own calls, and returns how long one takes.
func (s step) use(sums []float64, many float64) float64 {
	took := s.work
	for _, c := range s.steps {
		took += c.use(sums, many*float64(s.times)) * float64(c.times)
	}
	sums[s.service] += took * many * float64(s.times)
	return took
}

// uses returns that for one request of the kind, by service.
func (k kind) uses() []float64 {
	sums := make([]float64, len(services()))
	k.first.use(sums, 1)
	return sums
}
