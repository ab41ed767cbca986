// Package entry accepts requests from callers and from the node's own target,
// and dispatches them to an instance of their service.
//
// A request passes through a list of stages, defined in stages.go. Each stage
// checks the request, adds what it finds out, and either passes it on or
// refuses it. The last stage sends it and streams the response back.
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
	clock         clock.Clock
	currentConfig func() (*config.Config, bool)
	ownService    func() string
	calls         *calls.Table
	dispatch      *dispat.Dispatcher
	limiter       rateLimiter
	claims        *claims.Claims
	suspects      *crash.Suspects
	overload      *overloadState
	registry      metrics.Registry
	log           *slog.Logger
}

// rateLimiter takes one token from a team's rate limit. It may wait a few
// milliseconds. A refusal comes with the time in milliseconds after which the
// team may retry.
type rateLimiter interface {
	Take(ctx context.Context, team string) (granted, exhausted bool, retryAfterMillis int64)
}

// New returns an entry. currentConfig returns the configuration in force, or
// false if the node must not serve with it; ownService returns the name of the
// node's own service.
func New(c clock.Clock, currentConfig func() (*config.Config, bool), ownService func() string, runningCalls *calls.Table, d *dispat.Dispatcher, limiter rateLimiter, claimTable *claims.Claims, suspects *crash.Suspects, registry metrics.Registry, log *slog.Logger) *Entry {
	return &Entry{
		clock:         c,
		currentConfig: currentConfig,
		ownService:    ownService,
		calls:         runningCalls,
		dispatch:      d,
		limiter:       limiter,
		claims:        claimTable,
		suspects:      suspects,
		overload:      newOverloadState(c),
		registry:      registry,
		log:           log,
	}
}

// exchange is the state of one request while it passes through the stages.
type exchange struct {
	request *http.Request
	writer  http.ResponseWriter
	// context ends when the caller disconnects, the deadline expires or the
	// parent ends; for a claimed request, only when the deadline expires or the
	// request ends.
	context context.Context

	config   *config.Config
	route    route.Route
	team     team.Team
	parent   *call.Call
	envelope envel.Envelope
	// deadlineMillis is when the deadline expires, in milliseconds on the node's
	// clock.
	deadlineMillis int64
	allowance      retry.Allowance
	// granted is how many retries the request was granted in all.
	granted int
	body    *limitedBody
	// claim is the row that makes the request run at most once, or nil.
	claim *claim.Claim
	// responded says that the response has begun or is complete, so that the
	// remaining stages have nothing to do.
	responded bool
	// cleanup releases what the request holds when it ends.
	cleanup func()
}

// CallerHandler returns the handler of the callers' port.
func (e *Entry) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		e.serve(w, request, callerStages())
	})
}

// TargetHandler returns the handler for calls made by the node's own target.
func (e *Entry) TargetHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		e.serve(w, request, targetStages())
	})
}

func (e *Entry) serve(w http.ResponseWriter, request *http.Request, stages []stage) {
	start := e.clock.Fine()
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	x := &exchange{request: request, writer: w, context: ctx, cleanup: func() {}}
	defer func() { x.cleanup() }()
	for _, s := range stages {
		refusal, refused := s.run(e, x)
		if refused {
			e.refuse(x, s.name, refusal)
			break
		}
		if x.responded {
			break
		}
	}
	elapsed := time.Duration((e.clock.Fine() - start) * float64(time.Millisecond))
	metrics.GetOrRegisterTimer("Entry.Took", e.registry).Update(elapsed)
}

// refuse sends a refusal to the caller. A caller that is taken for gone gets it too, as
// it may still receive: net/http completes a response that wasn't begun as an empty 200.
func (e *Entry) refuse(x *exchange, stage string, r refuse.Refusal) {
	metrics.GetOrRegisterCounter("Entry.Refused."+string(r.Reason), e.registry).Inc(1)
	e.log.Debug("entry: refused a request", "Stage", stage, "Reason", string(r.Reason), "Ran", string(r.Ran))
	if err := r.Write(x.writer); err != nil {
		e.log.Debug("entry: failed to send a refusal to the caller", "Error", err)
	}
}

// proceed passes the request on to the next stage.
func proceed() (refuse.Refusal, bool) {
	return refuse.Refusal{}, false
}

// refuseWith refuses a request that never ran, for the given reason.
func refuseWith(r reason.Reason) (refuse.Refusal, bool) {
	return refuse.New(r), true
}
