package outbnd

import (
	"context"
	"log/slog"

	"bergamotloom.example/output"
)

// record writes the line of a request's end: what was decided, and on what.
func (e *Entry) record(q *request, o output.Output) {
	severity := slog.LevelDebug
	if !o.Answered() || o.Failed() || q.tries > 1 {
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
