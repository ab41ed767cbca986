package bench

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotloom.example/rank"
)

const (
	// binMillis is the grain of the timeline.
	binMillis = 100
	// settleMillis is how long after a cause refusals aren't wrongful yet.
	settleMillis = 2_000
	// measureFromMillis is when the time before the cause begins to count.
	measureFromMillis = 2_000
	// amplePart is the use of the capacity below which capacity was there.
	amplePart = 0.95
	// microsPerMilli converts latencies for the histograms.
	microsPerMilli = 1000
	// mostMicros and digits set the range of the latency histograms.
	mostMicros = 10_000_000
	digits     = 3
)

// tally counts what the measures need.
type tally struct {
	world    *world
	bins     []bin
	orders   []*order
	sends    []int
	entries  int
	asks     [rank.Count]int
	refusals [rank.Count]int
	// teams counts what each team asked and got while the cause lasted.
	teamAsked  []float64
	teamServed []float64
	ample      int
	wrongful   int
	latency    *hdrhistogram.Histogram
}

// bin counts what happened in one short time.
type bin struct {
	asked  int
	served int
	// answered counts those of asked that got a whole answer in the end, and
	// waited sums their latencies in milliseconds.
	answered int
	waited   float64
	// refused and started count per service and rank.
	refused [][rank.Count]int
	started [][rank.Count]int
}

func newTally(w *world) *tally {
	t := &tally{
		world:      w,
		sends:      make([]int, len(w.size.services)),
		teamAsked:  make([]float64, len(w.size.teams)),
		teamServed: make([]float64, len(w.size.teams)),
		latency:    hdrhistogram.New(1, mostMicros, digits),
	}
	for range int(w.scene.stopMillis()/binMillis) + 1 {
		t.bins = append(t.bins, bin{
			refused: make([][rank.Count]int, len(w.size.services)),
			started: make([][rank.Count]int, len(w.size.services)),
		})
	}
	return t
}

func (t *tally) bin(at float64) *bin {
	return &t.bins[int(at/binMillis)]
}

func (t *tally) now() *bin {
	return t.bin(t.world.loop.Now())
}

func (t *tally) asked(e *errand) {
	t.now().asked++
	if t.world.scene.during(e.sentAt) {
		t.teamAsked[e.team]++
		t.asks[t.world.size.paths[e.path].rank]++
	}
	if t.isAmple(e) {
		t.ample++
	}
}

// isAmple tells whether the request was inside its team's rate while there
// was capacity for it.
func (t *tally) isAmple(e *errand) bool {
	w := t.world
	if e.sentAt < measureFromMillis || w.scene.near(e.sentAt, w.size.paths[e.path].timeout) {
		return false
	}
	if w.scene.during(e.sentAt) && (w.scene.cold || w.scene.broken) {
		return false
	}
	d := w.demandAt(e.sentAt)
	return d.total <= amplePart*w.capacity(e.sentAt) && d.teams[e.team] <= w.size.rate(e.team)+1
}

func (t *tally) served(e *errand) {
	now := t.world.loop.Now()
	t.now().served++
	b := t.bin(e.sentAt)
	b.answered++
	b.waited += now - e.sentAt
	if !t.world.scene.during(e.sentAt) {
		return
	}
	t.teamServed[e.team]++
	_ = t.latency.RecordValue(int64((now - e.sentAt) * microsPerMilli))
}

func (t *tally) failed(e *errand) {
	if !e.refused {
		return
	}
	if t.world.scene.during(e.sentAt) {
		t.refusals[t.world.size.paths[e.path].rank]++
	}
	if t.isAmple(e) {
		t.wrongful++
	}
}

func (t *tally) sent(service int) { t.sends[service]++ }

func (t *tally) entered() { t.entries++ }

func (t *tally) refusedAt(service int, o *order) {
	t.now().refused[service][t.world.size.paths[o.path].rank]++
}

func (t *tally) startedAt(service int, o *order) {
	t.now().started[service][t.world.size.paths[o.path].rank]++
}

// goodput returns the served requests over what could have been served while
// the cause lasted.
func (t *tally) goodput() float64 {
	served, asked := 0, 0
	for at := warmMillis; at < int(t.world.scene.endMillis()); at += binMillis {
		b := t.bin(float64(at))
		served += b.served
		asked += b.asked
	}
	able := t.world.capacity(warmMillis) * t.world.scene.causeMillis / millisPerSecond
	return float64(served) / min(float64(asked), able)
}

// inverted returns the part of the critical requests that some service refused
// while it started less important ones.
func (t *tally) inverted() float64 {
	refused, asked := 0, 0
	for _, o := range t.orders {
		if t.world.size.paths[o.path].rank == rank.Critical {
			asked++
		}
	}
	for _, b := range t.bins {
		for s := range b.refused {
			if b.started[s][rank.Normal]+b.started[s][rank.Sheddable] > 0 {
				refused += b.refused[s][rank.Critical]
			}
		}
	}
	return part(float64(refused), float64(asked))
}

// wasted returns the part of the targets' time spent on requests that failed.
func (t *tally) wasted() float64 {
	lost, all := 0.0, 0.0
	for _, o := range t.orders {
		all += o.work
		if !o.good {
			lost += o.work
		}
	}
	return part(lost, all)
}

// sendsPerRequest returns the highest number of sends to one service for each
// request that entered.
func (t *tally) sendsPerRequest() float64 {
	most := 0
	for _, n := range t.sends {
		most = max(most, n)
	}
	return part(float64(most), float64(t.entries))
}

// worstTeam returns the lowest of the teams' served parts of their fair parts.
// The fair part is what a team sent, at most its weight's part of what could
// have been served; a team over its rate isn't judged when others stay inside.
func (t *tally) worstTeam() float64 {
	able := t.world.capacity(warmMillis) * t.world.scene.causeMillis / millisPerSecond
	fair := t.fairLevel(able)
	worst := math.Inf(1)
	for i := range t.teamAsked {
		if t.world.scene.hog > 0 && i == hogTeam || t.teamAsked[i] == 0 {
			continue
		}
		due := min(t.teamAsked[i], fair*t.world.size.teams[i].part)
		worst = min(worst, t.teamServed[i]/due)
	}
	return worst
}

// fairLevel returns the level at which the teams' fair parts sum up to able.
func (t *tally) fairLevel(able float64) float64 {
	low, high := 0.0, 0.0
	for i, a := range t.teamAsked {
		high = max(high, a/t.world.size.teams[i].part)
	}
	for range 50 {
		middle := (low + high) / 2
		sum := 0.0
		for i, a := range t.teamAsked {
			sum += min(a, middle*t.world.size.teams[i].part)
		}
		if sum > able {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

func part(some, all float64) float64 {
	if all == 0 {
		return 0
	}
	return some / all
}
