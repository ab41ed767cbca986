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
	// gradientTolerance is how much longer than usual requests may take
	// before the gradient lowers the limit.
	gradientTolerance = 1.5
	// gradientShare is how far one request moves the gradient's limit.
	gradientShare = 0.02
	// shortShare and longShare are how far one request moves the latest and
	// the usual time.
	shortShare = 0.05
	longShare  = 0.002
)

// gradient is a FIFO queue whose limit follows the gradient of the latency:
// the usual time over the latest.
type gradient struct {
	fifo
	most  float64
	limit float64
	short float64
	long  float64
}

func newGradient(c clock.Clock, slots int) admitter {
	return &gradient{fifo: fifo{clock: c, slots: slots}, most: float64(slots), limit: float64(slots)}
}

func (g *gradient) Finish(t *ticket.Ticket, ok bool, childMillis float64) {
	g.learn(g.clock.Fine() - t.StartedMillis - childMillis)
	g.slots = int(g.limit)
	if g.running > g.slots {
		g.running--
		return
	}
	g.fifo.Finish(t, ok, childMillis)
}

func (g *gradient) learn(tookMillis float64) {
	if g.long == 0 {
		g.short, g.long = tookMillis, tookMillis
	}
	g.short += (tookMillis - g.short) * shortShare
	g.long += (tookMillis - g.long) * longShare
	slope := min(max(g.long*gradientTolerance/g.short, 0.5), 1)
	next := g.limit*slope + math.Sqrt(g.limit)
	g.limit = min(max(g.limit+(next-g.limit)*gradientShare, 1), g.most)
}

// rankWeights are the parts of the slots that waiting ranks get.
var rankWeights = [rank.Count]float64{8, 4, 1}

// weighted has one FIFO queue for each rank and serves them by their weights;
// nothing goes back to the entries.
type weighted struct {
	open
	clock   clock.Clock
	slots   int
	running int
	queues  [rank.Count][]*ticket.Ticket
	used    [rank.Count]float64
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

// next takes a ticket of the waiting rank that used the least for its weight.
// Tickets whose time ran out are refused on the way.
func (w *weighted) next() *ticket.Ticket {
	for {
		r := w.leastUsed()
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

func (w *weighted) leastUsed() int {
	least := -1
	for r := range w.queues {
		if len(w.queues[r]) > 0 && (least < 0 || w.used[r] < w.used[least]) {
			least = r
		}
	}
	return least
}
