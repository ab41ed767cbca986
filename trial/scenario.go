package trial

import (
	"math"
	"math/rand/v2"

	"bergamotloom.example/team"
)

// scenario is a load, its distribution over the nodes, and an optional fault.
type scenario struct {
	name string
	// load is the rate of each team's requests as a multiple of the team's rate.
	load float64
	// pickNode selects the node of a request, given the time and that of the
	// event, both in milliseconds since the start of the run.
	pickNode func(r *rand.Rand, millis, eventMillis int64) int
	// event happens once, at eventMillis; nil for none.
	event func(w *world, l limiter)
}

// pickEven selects all nodes with equal probability.
func pickEven(r *rand.Rand, _, _ int64) int { return r.IntN(nodes) }

// pickUneven selects low nodes more often: node i roughly in proportion to 1/(i+1).
func pickUneven(r *rand.Rand, _, _ int64) int {
	return min(int(math.Pow(nodes+1, r.Float64())-1), nodes-1)
}

// pickMoving sends nine of ten requests to one node, which changes every 2 s.
func pickMoving(r *rand.Rand, millis, _ int64) int {
	if r.IntN(10) == 0 {
		return r.IntN(nodes)
	}
	const stayMillis, stride = 2000, 7
	return int(millis/stayMillis) * stride % nodes
}

// pickShifted selects like pickUneven until the event and then in the reverse order of the nodes.
func pickShifted(r *rand.Rand, millis, eventMillis int64) int {
	i := pickUneven(r, millis, eventMillis)
	if millis >= eventMillis {
		return nodes - 1 - i
	}
	return i
}

// nodeDeath kills the node with the most requests.
func nodeDeath(w *world, l limiter) {
	w.alive[0] = false
	l.handleNodeDeath(0)
}

func tableOutage(_ *world, l limiter) { l.failTable() }

func tableOutageAndNodeDeath(w *world, l limiter) {
	tableOutage(w, l)
	nodeDeath(w, l)
}

func scenarios() []scenario {
	return []scenario{
		{"even 90%", 0.9, pickEven, nil},
		{"uneven 90%", 0.9, pickUneven, nil},
		{"shift 90%", 0.9, pickShifted, nil},
		{"moving 90%", 0.9, pickMoving, nil},
		{"moving 90%, table out", 0.9, pickMoving, tableOutage},
		{"uneven 90%, node dies", 0.9, pickUneven, nodeDeath},
		{"uneven 90%, dies, table out", 0.9, pickUneven, tableOutageAndNodeDeath},
		{"flood 500%", 5, pickUneven, nil},
	}
}

// runner sends the requests of a scenario and counts their outcomes.
type runner struct {
	world       *world
	limiter     limiter
	scenario    scenario
	random      *rand.Rand
	teams       []team.Team
	nextMillis  []float64
	tallies     []tally
	offered     int
	startMillis int64
	millis      int64
	eventMillis int64
}

func newRunner(seed uint64, millis int64, w *world, l limiter, s scenario) *runner {
	r := &runner{
		world: w, limiter: l, scenario: s, teams: teams(), startMillis: w.now, millis: millis, eventMillis: millis / eventDivisor,
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for _, t := range r.teams {
		full := bucket{tokens: t.Burst, lastFillMillis: w.now}
		r.tallies = append(r.tallies, tally{ideal: full, actual: full})
		r.nextMillis = append(r.nextMillis, r.nextGapMillis(t))
	}
	return r
}

// nextGapMillis draws the time to a team's next request; the requests form a Poisson
// process.
func (r *runner) nextGapMillis(t team.Team) float64 {
	return r.random.ExpFloat64() * millisPerSecond / (t.Rate * r.scenario.load)
}

// sendDue sends the requests of one millisecond.
func (r *runner) sendDue() {
	millis := r.world.now - r.startMillis
	if millis == r.eventMillis && r.scenario.event != nil {
		r.scenario.event(r.world, r.limiter)
	}
	for i, t := range r.teams {
		for r.nextMillis[i] <= float64(millis) {
			r.nextMillis[i] += r.nextGapMillis(t)
			r.request(i, t, millis)
		}
	}
}

func (r *runner) request(i int, t team.Team, millis int64) {
	node := r.scenario.pickNode(r.random, millis, r.eventMillis)
	for !r.world.alive[node] {
		// Callers fail over to the next node when one is dead.
		node = (node + 1) % nodes
	}
	counts := &r.tallies[i]
	isSteady := millis < r.eventMillis || millis >= r.eventMillis+settleMillis
	r.offered++
	if counts.ideal.offer(t, r.world.now) && isSteady {
		counts.idealSteady++
	}
	r.limiter.request(node, i, func(granted bool) {
		if !granted {
			return
		}
		counts.actual.charge(t, r.world.now)
		counts.admitted++
		if isSteady {
			counts.admittedSteady++
		}
	})
}

func (r *runner) result(name string, s scenario) Result {
	perSecond := float64(millisPerSecond) / float64(r.millis)
	res := Result{
		Limiter: name, Scenario: s.name, Offered: r.offered,
		Messages: float64(r.world.messages) / nodes * perSecond,
		Bytes:    float64(r.world.bytes) / nodes * perSecond,
		Reads:    float64(r.world.reads) * perSecond,
		Writes:   float64(r.world.writes) * perSecond,
	}
	for _, counts := range r.tallies {
		res.Ideal += counts.ideal.admitted
		res.Admitted += counts.admitted
		res.Wrong += max(counts.ideal.admitted-counts.admitted, 0)
		res.WrongSteady += max(counts.idealSteady-counts.admittedSteady, 0)
		res.MaxOverdraft = math.Max(res.MaxOverdraft, counts.actual.maxOverdraft)
	}
	return res
}
