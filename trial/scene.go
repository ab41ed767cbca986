package trial

import (
	"math"
	"math/rand/v2"

	"bergamotloom.example/team"
)

// scenario says where requests arrive, how many, and what happens.
type scenario struct {
	name string
	// load is the rate of requests in parts of the team's rate.
	load float64
	// pick chooses the node of a request, given the time since the start and
	// the time of the event.
	pick func(r *rand.Rand, millis, event int64) int
	// event happens once; nil for none.
	event func(w *world, x way)
}

// even picks all nodes alike.
func even(r *rand.Rand, _, _ int64) int { return r.IntN(nodes) }

// uneven picks low nodes more often: node i in proportion to 1/(i+1).
func uneven(r *rand.Rand, _, _ int64) int {
	return min(int(math.Pow(nodes+1, r.Float64())-1), nodes-1)
}

// moving sends nine of ten requests to one node, another one every 2 s.
func moving(r *rand.Rand, millis, _ int64) int {
	if r.IntN(10) == 0 {
		return r.IntN(nodes)
	}
	const stayMillis, stride = 2000, 7
	return int(millis/stayMillis) * stride % nodes
}

// shifted is uneven, and from the event on the other way round.
func shifted(r *rand.Rand, millis, event int64) int {
	i := uneven(r, millis, event)
	if millis >= event {
		return nodes - 1 - i
	}
	return i
}

// death kills the node with the most work.
func death(w *world, x way) {
	w.alive[0] = false
	x.kill(0)
}

func outage(_ *world, x way) { x.tableOut() }

func outageAndDeath(w *world, x way) {
	outage(w, x)
	death(w, x)
}

func scenarios() []scenario {
	return []scenario{
		{"even 90%", 0.9, even, nil},
		{"uneven 90%", 0.9, uneven, nil},
		{"shift 90%", 0.9, shifted, nil},
		{"moving 90%", 0.9, moving, nil},
		{"moving 90%, table out", 0.9, moving, outage},
		{"uneven 90%, node dies", 0.9, uneven, death},
		{"uneven 90%, dies, table out", 0.9, uneven, outageAndDeath},
		{"flood 500%", 5, uneven, nil},
	}
}

// runner sends the arrivals of a scenario and counts the outcomes.
type runner struct {
	world   *world
	way     way
	scene   scenario
	random  *rand.Rand
	teams   []team.Team
	next    []float64
	tallies []tally
	offered int
	start   int64
	millis  int64
	event   int64
}

func newRunner(seed uint64, millis int64, w *world, x way, s scenario) *runner {
	r := &runner{
		world: w, way: x, scene: s, teams: teams(), start: w.now, millis: millis, event: millis / eventPart,
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	for _, t := range r.teams {
		full := meter{level: t.Burst, last: w.now}
		r.tallies = append(r.tallies, tally{ideal: full, exact: full})
		r.next = append(r.next, r.gap(t))
	}
	return r
}

// gap is the time to a team's next request; they come at random moments.
func (r *runner) gap(t team.Team) float64 {
	return r.random.ExpFloat64() * millisPerSecond / (t.Rate * r.scene.load)
}

// arrive sends the requests of one millisecond.
func (r *runner) arrive() {
	millis := r.world.now - r.start
	if millis == r.event && r.scene.event != nil {
		r.scene.event(r.world, r.way)
	}
	for i, t := range r.teams {
		for r.next[i] <= float64(millis) {
			r.next[i] += r.gap(t)
			r.request(i, t, millis)
		}
	}
}

func (r *runner) request(i int, t team.Team, millis int64) {
	node := r.scene.pick(r.random, millis, r.event)
	for !r.world.alive[node] {
		// Callers go elsewhere when a node is dead.
		node = (node + 1) % nodes
	}
	y := &r.tallies[i]
	late := millis < r.event || millis >= r.event+graceMillis
	r.offered++
	if y.ideal.offer(t, r.world.now) && late {
		y.idealLate++
	}
	r.way.arrive(node, i, func(granted bool) {
		if !granted {
			return
		}
		y.exact.charge(t, r.world.now)
		y.gotten++
		if late {
			y.gottenLate++
		}
	})
}

func (r *runner) result(name string, s scenario) Result {
	perSecond := float64(millisPerSecond) / float64(r.millis)
	t := Result{
		Limiter: name, Scenario: s.name, Offered: r.offered,
		Messages: float64(r.world.messages) / nodes * perSecond,
		Bytes:    float64(r.world.bytes) / nodes * perSecond,
		Reads:    float64(r.world.reads) * perSecond,
		Writes:   float64(r.world.writes) * perSecond,
	}
	for _, y := range r.tallies {
		t.Ideal += y.ideal.admitted
		t.Admitted += y.gotten
		t.Wrong += max(y.ideal.admitted-y.gotten, 0)
		t.WrongSteady += max(y.idealLate-y.gottenLate, 0)
		t.MaxOverdraft = math.Max(t.MaxOverdraft, y.exact.over)
	}
	return t
}
