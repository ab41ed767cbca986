package outbnd

import (
	"context"
	"log/slog"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/output"
)

const (
	// sampleSize is how many latencies a histogram keeps to estimate quantiles.
	sampleSize = 1024
	// statusClassDivisor is the divisor that gives the class of an HTTP status.
	statusClassDivisor = 100
)

// newHistogram returns a histogram over a uniform sample of sampleSize values.
func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
}

// count updates the counters and latencies of requests.
func (e *Entry) count(q *request, o output.Output) {
	source := "caller"
	if q.trip.Call {
		source = "call"
	}
	outcome := string(o.Reason)
	if o.HasResponse() {
		outcome = "Answered" + strconv.Itoa(o.Status/statusClassDivisor) + "xx"
	}
	metrics.GetOrRegisterCounter("entry."+source+"."+outcome, e.registry).Inc(1)
	if q.attempts > 1 {
		metrics.GetOrRegisterCounter("entry."+source+".Repeats", e.registry).Inc(int64(q.attempts - 1))
	}
	name := "entry." + source + ".millis"
	h, ok := e.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	if !ok {
		panic("outbnd: metric " + name + " isn't a histogram")
	}
	h.Update(int64(e.clock.Fine() - q.startedAt))
}

// record updates the metrics and logs the outcome, with the instance selected
// last and the current admitted fraction, of all teams and of the request's own.
func (e *Entry) record(q *request, o output.Output) {
	e.count(q, o)
	severity := slog.LevelDebug
	if !o.HasResponse() || o.Failed() || q.offers > 1 {
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
		"Tries", q.offers,
		"Millis", now-q.startedAt,
		"LeftMillis", q.deadline-now,
		"Config", q.configVersion,
		"Share", e.screen.AdmittedFraction(q.trip.Root, q.trip.Grade),
		"TeamFraction", e.screen.TeamFraction(q.trip.Root, q.trip.Team, q.trip.Grade),
	)
}
