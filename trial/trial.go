// Package trial compares distributed rate limiters, which hold teams to their rates
// over all nodes. It runs each with the same seeded requests on a virtual clock,
// and counts wrong refusals, the cost in messages and table requests, and
// overdrafts.
package trial

import (
	"math"
	"math/rand/v2"

	"bergamotloom.example/clock"
	"bergamotloom.example/team"
)

const (
	// nodes is the number of nodes. Like the teams below, it's that of present
	// deployments.
	nodes = 16
	// warmUpMillis lets a limiter settle before anything is counted.
	warmUpMillis = 3000
	// The scenario's event happens after 1/eventDivisor of the run.
	eventDivisor = 3
	// Requests within settleMillis after the event don't count as steady.
	settleMillis = 5000
	// hopMillis is the delay of a message, tableMillis that of a table request.
	hopMillis   = 1
	tableMillis = 5
	// tickMillis is the time between two ticks of a node.
	tickMillis = 5

	millisPerSecond = 1000
)

// teams returns eight teams, a few of them large.
func teams() []team.Team {
	var all []team.Team
	for i, rate := range []float64{400, 400, 200, 100, 50, 50, 20, 20} {
		t := team.Team{Name: string(rune('a' + i))}
		all = append(all, t.WithRate(rate, rate/2))
	}
	return all
}

// limiter is a distributed rate limiter. Nodes and teams are passed as indexes.
type limiter interface {
	// request asks a node to admit a request, and reports the decision to done.
	request(node, team int, done func(granted bool))
	// tick runs every tickMillis at each live node.
	tick(node int)
	// handleNodeDeath is called when a node is confirmed dead.
	handleNodeDeath(node int)
	// failTable makes the table unavailable until the end of the run.
	failTable()
}

// world simulates the network, the table and the nodes around a limiter.
type world struct {
	clock     clock.Clock
	advance   func(float64)
	now       int64
	scheduled map[int64][]func()
	random    *rand.Rand
	alive     [nodes]bool

	messages int
	bytes    int
	reads    int
	writes   int
}

func newWorld(seed uint64) *world {
	w := &world{scheduled: make(map[int64][]func()), random: rand.New(rand.NewPCG(seed, 0))}
	w.now = 1_000_000
	w.clock, w.advance = clock.NewManual(w.now)
	for i := range w.alive {
		w.alive[i] = true
	}
	return w
}

func (w *world) after(millis int64, action func()) {
	w.scheduled[w.now+millis] = append(w.scheduled[w.now+millis], action)
}

// deliver counts a message of so many bytes and runs the function on its arrival.
func (w *world) deliver(bytes int, action func()) {
	w.messages++
	w.bytes += bytes
	w.after(hopMillis, action)
}

// step advances the clock by a millisecond and runs what is due.
func (w *world) step() {
	w.now++
	w.advance(1)
	due := w.scheduled[w.now]
	delete(w.scheduled, w.now)
	for _, action := range due {
		action()
	}
}

// Result holds the measures of one limiter in one scenario.
type Result struct {
	// Limiter and Scenario are the names of what was run.
	Limiter  string
	Scenario string
	// Offered, Ideal and Admitted count requests: all, those that one exact token
	// bucket for each team would have admitted, and those that the limiter admitted.
	Offered  int
	Ideal    int
	Admitted int
	// Wrong counts refusals of requests within their team's rate: by how much the
	// admitted requests of a team fall short of the ideal, summed over the teams.
	// WrongSteady leaves out the first 5 s after the event.
	Wrong       int
	WrongSteady int
	// MaxOverdraft is the largest number of requests, over all teams, by which the
	// admitted requests overdrew an exact token bucket.
	MaxOverdraft float64
	// Messages and Bytes are counted per second and node, Reads and Writes of the
	// table per second over all nodes.
	Messages float64
	Bytes    float64
	Reads    float64
	Writes   float64
}

// RunAll runs every limiter in every scenario, each for so many seconds of the
// virtual clock.
func RunAll(seed uint64, seconds int) []Result {
	var all []Result
	for _, s := range scenarios() {
		for _, name := range []string{"home grants", "table row", "peer shares"} {
			all = append(all, run(seed, int64(seconds)*millisPerSecond, name, s))
		}
	}
	return all
}

func newLimiter(name string, w *world) limiter {
	switch name {
	case "home grants":
		return newOwnerLimiter(w)
	case "table row":
		return newRowLimiter(w)
	default:
		return newPeerLimiter(w)
	}
}

// tally counts the requests of one team. The bucket ideal admits requests by itself,
// actual is charged for those that the limiter admits, to measure overdrafts.
type tally struct {
	ideal, actual         bucket
	idealSteady, admitted int
	admittedSteady        int
}

// bucket is an exact token bucket that notes its largest overdraft, in tokens.
type bucket struct {
	tokens, maxOverdraft float64
	lastFillMillis       int64
	admitted             int
}

// fill adds the tokens gained since the last call.
func (m *bucket) fill(t team.Team, now int64) {
	m.tokens = math.Min(m.tokens+t.Rate*float64(now-m.lastFillMillis)/millisPerSecond, t.Burst)
	m.lastFillMillis = now
}

// offer admits a request if there is a token.
func (m *bucket) offer(t team.Team, now int64) bool {
	m.fill(t, now)
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	m.admitted++
	return true
}

// charge takes a token, and leaves a negative number if there is none.
func (m *bucket) charge(t team.Team, now int64) {
	m.fill(t, now)
	m.tokens--
	m.admitted++
	m.maxOverdraft = math.Max(m.maxOverdraft, -m.tokens)
}

func run(seed uint64, millis int64, name string, s scenario) Result {
	w := newWorld(seed)
	limiter := newLimiter(name, w)
	loop := func(millis int64, each func()) {
		for range millis {
			w.step()
			each()
			for i := range nodes {
				if w.alive[i] && (w.now+int64(i))%tickMillis == 0 {
					limiter.tick(i)
				}
			}
		}
	}
	loop(warmUpMillis, func() {})
	r := newRunner(seed, millis, w, limiter, s)
	w.messages, w.bytes, w.reads, w.writes = 0, 0, 0, 0
	loop(millis, r.sendDue)
	return r.result(name, s)
}
