// Package picker selects the instance that runs a request.
//
// It estimates each instance's load from status cards, from the load that gates
// report with their responses, and from the requests sent there since. It draws a
// few random instances (power of two choices) and selects the one with the lowest
// estimated latency. Faster instances are drawn more often, and so are those in
// this node's data centre while they have headroom.
package picker

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
)

const (
	// silentMillis is the time without a status card or response after which an
	// instance counts as silent and is selected only if no healthy one is left.
	// Cards come ten times a second.
	silentMillis = 1200
	// ejectionMillis is how long an instance that couldn't be reached is selected
	// only if no healthy one is left.
	ejectionMillis = 600
	// sameCentreFactor is how much more often an instance in this node's data
	// centre is drawn while less than sameCentreMaxUtilization of its slots are in
	// use.
	sameCentreFactor         = 12
	sameCentreMaxUtilization = 0.75
	// crossCentreMillis is the additional latency of a request to another data
	// centre. It also accounts for the cost of traffic between data centres.
	crossCentreMillis = 3
	// failurePenalty is how strongly failing runs raise an instance's estimated
	// run time: it's multiplied by 1 + failurePenalty times the failing fraction.
	failurePenalty = 4
	// failureExponent is the exponent in the weight with which an instance is
	// drawn: (1 - failing)^failureExponent times its capacity.
	failureExponent = 5
	// maxFailingFraction bounds the failing fraction in that formula, so that the
	// weight doesn't drop to zero.
	maxFailingFraction = 0.9
	// loadLatencyFactor ranks instances with free slots by their load: it's the
	// fraction of a run time that is added at full load.
	loadLatencyFactor = 0.2
	// queueFactor is how much more the queue of a gate counts than the delay that it causes:
	// a queued request also delays those behind it, and the gate's threshold makes entries
	// refuse others, while slower instances may have free slots.
	queueFactor = 3
	// defaultRunMillis is the run time of an instance that has reported none yet.
	defaultRunMillis = 20
	// candidateCount is the number of random instances drawn for one selection.
	candidateCount  = 2
	millisPerSecond = 1000
)

// Picker knows the instances of all services. It's safe for use by multiple
// goroutines.
type Picker struct {
	mutex     sync.Mutex
	clock     clock.Clock
	centre    string
	random    *rand.Rand
	instances map[string]*instance
	services  map[string][]*instance
	// healthy, fallback and cumulative (weights) are buffers that each Pick reuses.
	healthy, fallback []*instance
	cumulative        []float64
	// evacuated are the data centres whose instances aren't selected.
	evacuated map[string]bool
	spillover
}

type instance struct {
	card           card.Card
	lastSeenMillis int64
	// limit is the rate limit that the target is known to have named.
	limit namedLimit
	// left is the last target of the instance that is known to be leaving.
	left leftTarget
	// sentSinceReport counts this node's requests in flight that were sent since
	// the instance last reported its load, inFlight all of them.
	sentSinceReport    int
	inFlight           int
	ejectedUntilMillis int64
	slowness           slowness
}

// New returns a picker for a node in this data centre.
func New(c clock.Clock, centre string, seed uint64) *Picker {
	return &Picker{
		clock:     c,
		centre:    centre,
		random:    rand.New(rand.NewPCG(seed, seed)),
		instances: make(map[string]*instance),
		services:  make(map[string][]*instance),
		spillover: newSpillover(),
	}
}

// Learn replaces the previous status card of a node with its latest one.
func (p *Picker) Learn(c card.Card) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, ok := p.instances[c.Peers]
	if !ok {
		n = &instance{}
		p.instances[c.Peers] = n
		p.services[c.Service] = append(p.services[c.Service], n)
	} else if n.card.Service != c.Service {
		p.removeFromService(n)
		p.services[c.Service] = append(p.services[c.Service], n)
	}
	if n.card.Incarnation != c.Incarnation {
		n.ejectedUntilMillis = 0
	}
	n.card, n.lastSeenMillis, n.sentSinceReport = c, p.clock.Now(), 0
	n.learnLimit(c, n.lastSeenMillis)
	n.slowness = newSlowness(float64(c.Slowness), n.lastSeenMillis)
	n.learnLeft(c)
}

func (p *Picker) removeFromService(n *instance) {
	name := n.card.Service
	for i, other := range p.services[name] {
		if other == n {
			last := len(p.services[name]) - 1
			p.services[name][i] = p.services[name][last]
			p.services[name] = p.services[name][:last]
			return
		}
	}
}

// UpdateLoad stores the numbers of running and waiting requests and the slowness that
// a gate reported with a response. A slowness of 0 isn't known.
func (p *Picker) UpdateLoad(peer string, running, waiting int, slowness float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if n, ok := p.instances[peer]; ok {
		n.card.Running, n.card.Waiting, n.sentSinceReport = running, waiting, 0
		n.lastSeenMillis = p.clock.Now()
		n.learnSlowness(slowness, n.lastSeenMillis)
	}
}

// Pick selects an instance of the service for the next request, counts the
// request as sent there and returns the instance's card. Instances in tried are
// excluded; ok is false if there is no other. If there are any, only an instance
// without a bound on its rate is selected, unless all others have one.
func (p *Picker) Pick(service string, tried map[string]bool) (c card.Card, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	healthy, fallback := p.healthy[:0], p.fallback[:0]
	for _, n := range p.services[service] {
		if n.card.Target == "" || n.card.Stopping || p.evacuated[n.card.Centre] || n.left.includes(n.card, now) {
			continue
		}
		n.slowness.age(now)
		switch {
		case tried[n.card.Peers]:
		case now-n.lastSeenMillis > silentMillis || now < n.ejectedUntilMillis:
			fallback = append(fallback, n)
		default:
			healthy = append(healthy, n)
		}
	}
	p.healthy, p.fallback = healthy, fallback
	candidates := healthy
	if len(candidates) == 0 {
		candidates = fallback
	}
	if len(candidates) == 0 {
		return card.Card{}, false
	}
	if len(tried) > 0 {
		candidates = withoutRateLimit(candidates)
	}
	all := candidates
	candidates, preferOwn := p.localFirst(service, all, len(tried) > 0, len(healthy) > 0)
	sums := p.cumulativeWeights(candidates, preferOwn)
	best := p.draw(candidates, sums)
	for range candidateCount - 1 {
		if other := p.draw(candidates, sums); p.latencyMillis(other) < p.latencyMillis(best) {
			best = other
		}
	}
	if len(candidates) < len(all) && best.card.Failing > maxLocalFailing {
		if other := p.draw(all, p.cumulativeWeights(all, false)); p.latencyMillis(other) < p.latencyMillis(best) {
			best = other
		}
	}
	best.sentSinceReport++
	best.inFlight++
	return best.limit.describe(best.card, now), true
}

// SeenSince reports whether a status card or a response came from the node at that
// moment or later, in milliseconds of the node's clock.
func (p *Picker) SeenSince(peer string, millis int64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, ok := p.instances[peer]
	return ok && n.lastSeenMillis >= millis
}

// Done counts a request to a node as finished. Reached is false if the request
// wasn't sent, for whatever reason, or the connection ended early; that ejects the
// instance for ejectionMillis.
func (p *Picker) Done(peer string, reached bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, ok := p.instances[peer]
	if !ok {
		return
	}
	n.inFlight--
	n.sentSinceReport = max(n.sentSinceReport-1, 0)
	if !reached {
		n.ejectedUntilMillis = p.clock.Now() + ejectionMillis
	}
}

// cumulativeWeights returns for each instance the sum of the weights up to and
// including its own.
func (p *Picker) cumulativeWeights(candidates []*instance, preferOwn bool) []float64 {
	sum := 0.0
	p.cumulative = p.cumulative[:0]
	for _, n := range candidates {
		sum += p.weight(n, preferOwn)
		p.cumulative = append(p.cumulative, sum)
	}
	return p.cumulative
}

// draw returns a random instance, with probabilities in proportion to the
// weights.
func (p *Picker) draw(candidates []*instance, sums []float64) *instance {
	at := sort.SearchFloat64s(sums, p.random.Float64()*sums[len(sums)-1])
	return candidates[min(at, len(candidates)-1)]
}

// weight returns the capacity of the instance, in requests per millisecond, times factors
// for failing runs and, if preferOwn is set, for the data centre.
func (p *Picker) weight(n *instance, preferOwn bool) float64 {
	slots := n.usableSlots()
	w := slots / n.runMillis() * n.healthFactor()
	if preferOwn && n.card.Centre == p.centre && float64(n.load()) < sameCentreMaxUtilization*slots {
		w *= sameCentreFactor
	}
	return w
}

// healthFactor returns the factor for failing runs in the weight of the instance.
func (n *instance) healthFactor() float64 {
	if n.card.Failing <= 0 {
		return 1
	}
	return math.Pow(1-min(float64(n.card.Failing), maxFailingFraction), failureExponent)
}

// latencyMillis estimates the latency of a request sent to the instance. Queues count more
// than the delay that they cause.
func (p *Picker) latencyMillis(n *instance) float64 {
	slots := float64(max(n.card.Limit, 1))
	run := n.runMillis() * (1 + failurePenalty*float64(n.card.Failing))
	wait := max(float64(n.load()+1)/slots, 1)
	latency := run * (wait + loadLatencyFactor*float64(n.load())/slots + queueFactor*(wait-1))
	if rate := n.card.MaxRate(); rate > 0 {
		latency += float64(n.card.Waiting+n.sentSinceReport) * millisPerSecond / rate
	}
	if n.card.Centre != p.centre {
		latency += crossCentreMillis
	}
	return latency
}

// load estimates how many requests the instance runs or has in its queue.
func (n *instance) load() int {
	return max(n.card.Running+n.card.Waiting+n.sentSinceReport, n.inFlight)
}

// usableSlots returns how many slots of the target can be in use, by the bound on its
// rate and its own slots.
func (n *instance) usableSlots() float64 {
	return n.card.UsableSlots(n.runMillis())
}

// runMillis returns the estimated run time at the target as of the last Pick.
func (n *instance) runMillis() float64 {
	if n.card.RunMillis <= 0 {
		return defaultRunMillis
	}
	return float64(n.card.RunMillis) * n.slowness.factor
}

// Forget removes a node that has left or is dead.
func (p *Picker) Forget(peer string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if n, ok := p.instances[peer]; ok {
		p.removeFromService(n)
		delete(p.instances, peer)
	}
}
