// Package trial compares ways to hold teams to their rates over all nodes. It
// runs each of them on the same seeded arrivals and a virtual clock, and counts
// what was wrongly refused, what it cost, and what went over a window.
package trial

import (
	"math"
	"math/rand/v2"

	"bergamotloom.example/clock"
	"bergamotloom.example/team"
)

const (
	// nodes and the teams below have the size of today's deployments.
	nodes = 16
	// warmMillis lets a way settle before anything is counted.
	warmMillis = 3000
	// eventPart of the run comes before the scenario's event.
	eventPart = 3
	// graceMillis after an event, refusals count as steady again.
	graceMillis = 5000
	// hopMillis is the time of a message, tableMillis that of a table request.
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

// way is one way to hold teams to their rates. Node and team are indexes.
type way interface {
	// arrive is a request; done is told the outcome.
	arrive(node, team int, done func(granted bool))
	tick(node int)
	kill(node int)
	tableOut()
}

// world is what a way runs in.
type world struct {
	clock   clock.Clock
	advance func(float64)
	now     int64
	queue   map[int64][]func()
	random  *rand.Rand
	alive   [nodes]bool

	messages int
	bytes    int
	reads    int
	writes   int
}

func newWorld(seed uint64) *world {
	w := &world{queue: make(map[int64][]func()), random: rand.New(rand.NewPCG(seed, 0))}
	w.now = 1_000_000
	w.clock, w.advance = clock.NewManual(w.now)
	for i := range w.alive {
		w.alive[i] = true
	}
	return w
}

func (w *world) after(millis int64, do func()) {
	w.queue[w.now+millis] = append(w.queue[w.now+millis], do)
}

// deliver counts a message of so many bytes and does what it does on arrival.
func (w *world) deliver(bytes int, do func()) {
	w.messages++
	w.bytes += bytes
	w.after(hopMillis, do)
}

// step lets a millisecond pass.
func (w *world) step() {
	w.now++
	w.advance(1)
	due := w.queue[w.now]
	delete(w.queue, w.now)
	for _, do := range due {
		do()
	}
}

// Result is one run of one way in one scenario. See Result for its outcome.
type Result struct {
	// Limiter and Scenario name what was run.
	Limiter      string
	Scenario string
	// Offered, Ideal and Admitted count requests: all, those that one exact
	// token bucket would have admitted, and those that were.
	Offered  int
	Ideal    int
	Admitted int
	// Wrong counts refusals of teams that were inside their rate: by how much
	// Admitted falls short of Ideal, summed over teams. WrongLate leaves out
	// what happened within 5 s of the event.
	Wrong     int
	WrongSteady int
	// MaxOverdraft is the largest number of requests by which a window was over.
	MaxOverdraft float64
	// Messages and Bytes are per second and node, Reads and Writes of the
	// table per second over all nodes.
	Messages float64
	Bytes    float64
	Reads    float64
	Writes   float64
}

// RunAll runs every way in every scenario for so many seconds.
func RunAll(seed uint64, seconds int) []Result {
	var all []Result
	for _, s := range scenarios() {
		for _, name := range []string{"home grants", "table row", "peer shares"} {
			all = append(all, run(seed, int64(seconds)*millisPerSecond, name, s))
		}
	}
	return all
}

func newWay(name string, w *world) way {
	switch name {
	case "home grants":
		return newHome(w)
	case "table row":
		return newRow(w)
	default:
		return newPeer(w)
	}
}

// tally counts the requests of one team.
type tally struct {
	ideal, exact      meter
	idealLate, gotten int
	gottenLate        int
}

// meter is an exact token bucket; it notes how far it was ever overdrawn.
type meter struct {
	level, over float64
	last        int64
	admitted    int
}

// fill lets time pass.
func (m *meter) fill(t team.Team, now int64) {
	m.level = math.Min(m.level+t.Rate*float64(now-m.last)/millisPerSecond, t.Burst)
	m.last = now
}

// offer admits a request if there's a token.
func (m *meter) offer(t team.Team, now int64) bool {
	m.fill(t, now)
	if m.level < 1 {
		return false
	}
	m.level--
	m.admitted++
	return true
}

// charge takes a token in any case.
func (m *meter) charge(t team.Team, now int64) {
	m.fill(t, now)
	m.level--
	m.admitted++
	m.over = math.Max(m.over, -m.level)
}

func run(seed uint64, millis int64, name string, s scenario) Result {
	w := newWorld(seed)
	way := newWay(name, w)
	loop := func(millis int64, each func()) {
		for range millis {
			w.step()
			each()
			for i := range nodes {
				if w.alive[i] && (w.now+int64(i))%tickMillis == 0 {
					way.tick(i)
				}
			}
		}
	}
	loop(warmMillis, func() {})
	r := newRunner(seed, millis, w, way, s)
	w.messages, w.bytes, w.reads, w.writes = 0, 0, 0, 0
	loop(millis, r.arrive)
	return r.result(name, s)
}
