// Package entry takes requests of callers, and of the node's own target, and
// brings them to an instance that answers them.
//
// A request passes through a chain of stages. Each looks at it, adds what it
// finds out, and either lets it go on or refuses it; the table in stages.go
// lists them. The last stage sends it and streams the answer back.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/call"
	"bergamotloom.example/calls"
	"bergamotloom.example/claim"
	"bergamotloom.example/claims"
	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/crash"
	"bergamotloom.example/dispat"
	"bergamotloom.example/envel"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/retry"
	"bergamotloom.example/route"
	"bergamotloom.example/team"
)

// Entry serves the callers' port and the local port of one node.
type Entry struct {
	clock    clock.Clock
	config   func() (*config.Config, bool)
	service  func() string
	calls    *calls.Table
	dispatch *dispat.Dispatcher
	rates    rater
	claims   *claims.Claims
	marks    *crash.Marks
	filter   *filter
	registry metrics.Registry
	log      *slog.Logger
}

// rater takes one request from a team's rate. It may wait a few milliseconds;
// a refusal comes with the time after which the team may ask again.
type rater interface {
	Take(ctx context.Context, team string) (granted bool, retryAfterMillis int64)
}

// New returns an entry. Config returns the configuration in force, or false if
// the node may not serve by it; service the name of the node's own service.
func New(c clock.Clock, current func() (*config.Config, bool), service func() string, running *calls.Table, d *dispat.Dispatcher, rates rater, made *claims.Claims, marks *crash.Marks, registry metrics.Registry, log *slog.Logger) *Entry {
	return &Entry{
		clock:    c,
		config:   current,
		service:  service,
		calls:    running,
		dispatch: d,
		rates:    rates,
		claims:   made,
		marks:    marks,
		filter:   newFilter(c),
		registry: registry,
		log:      log,
	}
}

// work is one request on its way through the stages.
type work struct {
	in     *http.Request
	writer http.ResponseWriter
	// context ends with the caller, the deadline and the parent.
	context context.Context

	config    *config.Config
	route     route.Route
	team      team.Team
	parent    *call.Call
	envelope  envel.Envelope
	deadline  int64
	allowance retry.Allowance
	body      *limited
	// claim is the row that lets the request run at most once, or nil.
	claim *claim.Claim
	// answered says that the response has begun or is complete, so that the
	// stages after it have nothing to do.
	answered bool
	// finally frees what the request still holds at its end.
	finally func()
}

// Callers returns the handler of the callers' port.
func (e *Entry) Callers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		e.serve(w, in, callerStages())
	})
}

// Target returns the handler for calls of the node's own target.
func (e *Entry) Target() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		e.serve(w, in, targetStages())
	})
}

func (e *Entry) serve(w http.ResponseWriter, in *http.Request, stages []stage) {
	start := e.clock.Fine()
	ctx, cancel := context.WithCancel(in.Context())
	defer cancel()
	k := &work{in: in, writer: w, context: ctx, finally: func() {}}
	defer func() { k.finally() }()
	for _, s := range stages {
		refusal, refused := s.work(e, k)
		if refused {
			e.refuse(k, s.name, refusal)
			break
		}
		if k.answered {
			break
		}
	}
	took := time.Duration((e.clock.Fine() - start) * float64(time.Millisecond))
	metrics.GetOrRegisterTimer("Entry.Took", e.registry).Update(took)
}

// refuse answers the caller with a refusal, if the caller is still there.
func (e *Entry) refuse(k *work, stage string, r refuse.Refusal) {
	metrics.GetOrRegisterCounter("Entry.Refused."+string(r.Reason), e.registry).Inc(1)
	if r.Reason == reason.Cancelled {
		return
	}
	e.log.Debug("entry: refused a request", "Stage", stage, "Reason", string(r.Reason), "Ran", string(r.Ran))
	if err := r.Write(k.writer); err != nil {
		e.log.Debug("entry: a caller didn't take its refusal", "Error", err)
	}
}

// pass lets the request go on to the next stage.
func pass() (refuse.Refusal, bool) {
	return refuse.Refusal{}, false
}

// stop ends the request's way with a refusal of a request that never ran.
func stop(r reason.Reason) (refuse.Refusal, bool) {
	return refuse.New(r), true
}
