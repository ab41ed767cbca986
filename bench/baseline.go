package bench

import (
	"math"

	"bergamotloom.example/clock"
	"bergamotloom.example/rank"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/ticket"
)

const (
	// gradientTolerance is the ratio of the recent to the usual run time above
	// which the limit falls.
	gradientTolerance = 1.5
	// limitSmoothingFactor is the weight of one request in the limit.
	limitSmoothingFactor = 0.02
	// recentSmoothingFactor and usualSmoothingFactor are the weights of one
	// request in the EWMAs of the recent and the usual run time.
	recentSmoothingFactor = 0.05
	usualSmoothingFactor  = 0.002
)

// gradient is a FIFO queue whose limit follows the gradient of the run time: the
// usual run time over the recent one.
type gradient struct {
	fifo
	maxLimit     float64
	limit        float64
	recentMillis float64
	usualMillis  float64
}

func newGradient(c clock.Clock, slots int) admitter {
	return &gradient{fifo: fifo{clock: c, slots: slots}, maxLimit: float64(slots), limit: float64(slots)}
}

func (g *gradient) Finish(t *ticket.Ticket, ok bool, childMillis float64) {
	g.updateLimit(g.clock.Fine() - t.StartedMillis - childMillis)
	g.slots = int(g.limit)
	if g.running > g.slots {
		g.running--
		return
	}
	g.fifo.Finish(t, ok, childMillis)
}

func (g *gradient) updateLimit(runMillis float64) {
	if g.usualMillis == 0 {
		g.recentMillis, g.usualMillis = runMillis, runMillis
	}
	g.recentMillis += (runMillis - g.recentMillis) * recentSmoothingFactor
	g.usualMillis += (runMillis - g.usualMillis) * usualSmoothingFactor
	// The ratio is at least 0.5; the square root of the limit lets it grow.
	latencyRatio := min(max(g.usualMillis*gradientTolerance/g.recentMillis, 0.5), 1)
	next := g.limit*latencyRatio + math.Sqrt(g.limit)
	g.limit = min(max(g.limit+(next-g.limit)*limitSmoothingFactor, 1), g.maxLimit)
}

// rankWeights are the weights by which queued ranks share the slots.
var rankWeights = [rank.Count]float64{8, 4, 1}

// weighted has one FIFO queue for each rank and serves the queues by their
// weights. It reports no threshold to the entries.
type weighted struct {
	admitAll
	clock   clock.Clock
	slots   int
	running int
	queues  [rank.Count][]*ticket.Ticket
	// used counts the dequeued requests of each rank, divided by its weight, since
	// the queues were last empty.
	used [rank.Count]float64
}

func newWeighted(c clock.Clock, slots int) admitter {
	return &weighted{clock: c, slots: slots}
}

func (w *weighted) Arrive(t *ticket.Ticket) {
	switch {
	case w.running < w.slots:
		w.running++
		t.Start(w.clock.Fine())
	case len(w.queues[t.Rank]) < w.slots*fifoFactor:
		t.Enqueue()
		w.queues[t.Rank] = append(w.queues[t.Rank], t)
	default:
		t.Refuse(refuse.New(reason.Overloaded))
	}
}

func (w *weighted) Finish(*ticket.Ticket, bool, float64) {
	w.running--
	next := w.next()
	if next == nil {
		return
	}
	w.running++
	next.Start(w.clock.Fine())
}

// next dequeues a ticket of the queued rank with the least use for its weight.
// Overdue tickets that it finds are refused.
func (w *weighted) next() *ticket.Ticket {
	for {
		r := w.leastUsedRank()
		if r < 0 {
			w.used = [rank.Count]float64{}
			return nil
		}
		t := w.queues[r][0]
		w.queues[r] = w.queues[r][1:]
		if t.DeadlineMillis > w.clock.Now() {
			w.used[r] += 1 / rankWeights[r]
			return t
		}
		t.Refuse(refuse.New(reason.DeadlineExceeded))
	}
}

// leastUsedRank returns -1 if no request is queued.
func (w *weighted) leastUsedRank() int {
	least := -1
	for r := range w.queues {
		if len(w.queues[r]) > 0 && (least < 0 || w.used[r] < w.used[least]) {
			least = r
		}
	}
	return least
}
