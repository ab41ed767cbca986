package outbnd

import (
	"context"
	"log/slog"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/output"
)

const (
	// sampleSize is how many latencies a histogram keeps to tell its quantiles.
	sampleSize = 1024
	// statusClass divides a status into its class.
	statusClass = 100
)

// newHistogram makes a histogram when its name is used first.
func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
}

// count updates the counters and latencies of requests.
func (e *Entry) count(q *request, o output.Output) {
	who := "caller"
	if q.trip.Call {
		who = "call"
	}
	what := string(o.Reason)
	if o.HasResponse() {
		what = "Answered" + strconv.Itoa(o.Status/statusClass) + "xx"
	}
	metrics.GetOrRegisterCounter("entry."+who+"."+what, e.registry).Inc(1)
	if q.sends > 1 {
		metrics.GetOrRegisterCounter("entry."+who+".Repeats", e.registry).Inc(int64(q.sends - 1))
	}
	name := "entry." + who + ".millis"
	h, ok := e.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	if !ok {
		panic("outbnd: " + name + " is no histogram")
	}
	h.Update(int64(e.clock.Fine() - q.began))
}

// record writes the line of a request's end: what was decided, and on what.
func (e *Entry) record(q *request, o output.Output) {
	e.count(q, o)
	severity := slog.LevelDebug
	if !o.HasResponse() || o.Failed() || q.tries > 1 {
		severity = slog.LevelInfo
	}
	if !e.log.Enabled(context.Background(), severity) {
		return
	}
	now := e.clock.Fine()
	e.log.Log(context.Background(), severity, "entry: request ended",
		"ID", q.id,
		"Route", q.route.Name,
		"Root", q.trip.Root,
		"Grade", q.trip.Grade,
		"Team", q.team.Name,
		"Service", q.trip.Service,
		"Call", q.trip.Call,
		"Peer", q.peer,
		"Target", q.target,
		"Reason", string(o.Reason),
		"Ran", string(o.Ran),
		"Detail", o.Detail,
		"Status", o.Status,
		"Tries", q.tries,
		"Millis", now-q.began,
		"LeftMillis", q.due-now,
		"Config", q.version,
		"Share", e.screen.Share(q.trip.Root, q.trip.Grade),
	)
}
