package bench

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotloom.example/rank"
)

const (
	// binMillis is the length of a bin of the timeline.
	binMillis = 100
	// settleMillis is how long after a disturbance refusals don't count as wrongful.
	settleMillis = 2_000
	// measureFromMillis is when measuring starts: earlier requests are warm-up.
	measureFromMillis = 2_000
	// ampleUtilization is the utilization up to which there is capacity for
	// requests within the rates.
	ampleUtilization = 0.95
	// The latency histogram counts in microseconds.
	microsPerMilli = 1000
	// maxLatencyMicros and significantDigits set its range and precision.
	maxLatencyMicros  = 10_000_000
	significantDigits = 3
)

// tally counts requests and work for the measures of an outcome.
type tally struct {
	world             *world
	bins              []bin
	clientAttempts    []*clientAttempt
	attemptsByService []int
	admittedAttempts  int
	requestsByRank    [rank.Count]int
	refusedByRank     [rank.Count]int
	// teamRequests and teamServed count by team during the disturbance.
	teamRequests         []float64
	teamServed           []float64
	requestsWithCapacity int
	wrongful             int
	latency              *hdrhistogram.Histogram
}

// bin counts the events of binMillis.
type bin struct {
	// requests counts the clients' requests first sent in the bin, served those
	// whose response arrived in it.
	requests int
	served   int
	// responses counts those of requests that got a complete response in the
	// end, and latencySumMillis sums their latencies.
	responses        int
	latencySumMillis float64
	// refused and started count calls by service and rank.
	refused [][rank.Count]int
	started [][rank.Count]int
}

func newTally(w *world) *tally {
	t := &tally{
		world:             w,
		attemptsByService: make([]int, len(w.deployment.services)),
		teamRequests:      make([]float64, len(w.deployment.teams)),
		teamServed:        make([]float64, len(w.deployment.teams)),
		latency:           hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	for range int(w.scenario.endMillis()/binMillis) + 1 {
		t.bins = append(t.bins, bin{
			refused: make([][rank.Count]int, len(w.deployment.services)),
			started: make([][rank.Count]int, len(w.deployment.services)),
		})
	}
	return t
}

func (t *tally) binAt(millis float64) *bin {
	return &t.bins[int(millis/binMillis)]
}

func (t *tally) currentBin() *bin {
	return t.binAt(t.world.loop.Now())
}

func (t *tally) recordRequest(cr *clientRequest) {
	t.currentBin().requests++
	if t.world.scenario.isDisturbed(cr.sentMillis) {
		t.teamRequests[cr.team]++
		t.requestsByRank[t.world.deployment.routes[cr.route].rank]++
	}
	if t.hadCapacity(cr) {
		t.requestsWithCapacity++
	}
}

// hadCapacity reports whether the request was within its team's rate while
// there was capacity for it.
func (t *tally) hadCapacity(cr *clientRequest) bool {
	w := t.world
	if cr.sentMillis < measureFromMillis || w.scenario.nearDisturbance(cr.sentMillis, w.deployment.routes[cr.route].timeoutMillis) {
		return false
	}
	if w.scenario.isDisturbed(cr.sentMillis) && (w.scenario.cold || w.scenario.broken) {
		return false
	}
	d := w.demandAt(cr.sentMillis)
	return d.total <= ampleUtilization*w.capacity(cr.sentMillis) && d.teams[cr.team] <= w.deployment.rate(cr.team)+1
}

func (t *tally) recordServed(cr *clientRequest) {
	now := t.world.loop.Now()
	t.currentBin().served++
	b := t.binAt(cr.sentMillis)
	b.responses++
	b.latencySumMillis += now - cr.sentMillis
	if !t.world.scenario.isDisturbed(cr.sentMillis) {
		return
	}
	t.teamServed[cr.team]++
	_ = t.latency.RecordValue(int64((now - cr.sentMillis) * microsPerMilli))
}

func (t *tally) recordFailed(cr *clientRequest) {
	if !cr.refused {
		return
	}
	if t.world.scenario.isDisturbed(cr.sentMillis) {
		t.refusedByRank[t.world.deployment.routes[cr.route].rank]++
	}
	if t.hadCapacity(cr) {
		t.wrongful++
	}
}

func (t *tally) recordAttempt(service int) { t.attemptsByService[service]++ }

func (t *tally) recordEntry() { t.admittedAttempts++ }

func (t *tally) recordRefused(service int, attempt *clientAttempt) {
	t.currentBin().refused[service][t.world.deployment.routes[attempt.route].rank]++
}

func (t *tally) recordStarted(service int, attempt *clientAttempt) {
	t.currentBin().started[service][t.world.deployment.routes[attempt.route].rank]++
}

// goodput returns the served requests as a fraction of those that could have
// been served during the disturbance.
func (t *tally) goodput() float64 {
	served, requests := 0, 0
	for at := disturbanceStartMillis; at < int(t.world.scenario.disturbanceEndMillis()); at += binMillis {
		b := t.binAt(float64(at))
		served += b.served
		requests += b.requests
	}
	servable := t.world.capacity(disturbanceStartMillis) * t.world.scenario.disturbanceMillis / millisPerSecond
	return float64(served) / min(float64(requests), servable)
}

// inverted returns the fraction of the critical requests that some service
// refused while it started less important ones.
func (t *tally) inverted() float64 {
	refused, critical := 0, 0
	for _, attempt := range t.clientAttempts {
		if t.world.deployment.routes[attempt.route].rank == rank.Critical {
			critical++
		}
	}
	for _, b := range t.bins {
		for s := range b.refused {
			if b.started[s][rank.Normal]+b.started[s][rank.Sheddable] > 0 {
				refused += b.refused[s][rank.Critical]
			}
		}
	}
	return fraction(float64(refused), float64(critical))
}

// wasted returns the fraction of the targets' time spent on requests that failed.
func (t *tally) wasted() float64 {
	lost, all := 0.0, 0.0
	for _, attempt := range t.clientAttempts {
		all += attempt.work
		if !attempt.served {
			lost += attempt.work
		}
	}
	return fraction(lost, all)
}

// attemptsPerRequest returns the attempts at a service per admitted attempt of a client, at
// the service where it's highest.
func (t *tally) attemptsPerRequest() float64 {
	maxAttempts := 0
	for _, n := range t.attemptsByService {
		maxAttempts = max(maxAttempts, n)
	}
	return fraction(float64(maxAttempts), float64(t.admittedAttempts))
}

// worstTeam returns the lowest served fraction of a fair share among the teams.
// The fair share is what a team sent, bounded by its weighted share of what could
// have been served. The team that exceeds its rate on purpose doesn't count.
func (t *tally) worstTeam() float64 {
	servable := t.world.capacity(disturbanceStartMillis) * t.world.scenario.disturbanceMillis / millisPerSecond
	fairPerFraction := t.fairSharePerFraction(servable)
	worst := math.Inf(1)
	for i := range t.teamRequests {
		if t.world.scenario.overRateFactor > 0 && i == overRateTeam || t.teamRequests[i] == 0 {
			continue
		}
		fairRequests := min(t.teamRequests[i], fairPerFraction*t.world.deployment.teams[i].fraction)
		worst = min(worst, t.teamServed[i]/fairRequests)
	}
	return worst
}

// fairSharePerFraction returns the fair share of a team divided by the team's
// fraction, such that the fair shares of all teams add up to servable. It's found
// by bisection.
func (t *tally) fairSharePerFraction(servable float64) float64 {
	low, high := 0.0, 0.0
	for i, a := range t.teamRequests {
		high = max(high, a/t.world.deployment.teams[i].fraction)
	}
	for range 50 {
		middle := (low + high) / 2
		sum := 0.0
		for i, a := range t.teamRequests {
			sum += min(a, middle*t.world.deployment.teams[i].fraction)
		}
		if sum > servable {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

func fraction(some, all float64) float64 {
	if all == 0 {
		return 0
	}
	return some / all
}
