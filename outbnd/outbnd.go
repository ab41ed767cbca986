// Package outbnd is a node's entry: it accepts callers' requests that arrive at
// this node and child calls from the target on the same instance, and sends
// each of them to an instance of the service that its route names.
package outbnd

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/accept"
	"bergamotloom.example/advice"
	"bergamotloom.example/body"
	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/crash"
	"bergamotloom.example/dialct"
	"bergamotloom.example/duplex"
	"bergamotloom.example/grade"
	"bergamotloom.example/heads"
	"bergamotloom.example/hops"
	"bergamotloom.example/intake"
	"bergamotloom.example/keys"
	"bergamotloom.example/output"
	"bergamotloom.example/parent"
	"bergamotloom.example/picker"
	"bergamotloom.example/ratio"
	"bergamotloom.example/ration"
	"bergamotloom.example/reason"
	"bergamotloom.example/route"
	"bergamotloom.example/screen"
	"bergamotloom.example/socket"
	"bergamotloom.example/split"
	"bergamotloom.example/team"
	"bergamotloom.example/trip"
)

const (
	// localRetryFraction is the fraction of the fleet's retry ratio that this node
	// uses. It's less than 1 because a node doesn't know the retries of other nodes.
	localRetryFraction = 0.6
	// maxSavedRetries is the largest balance of a service's retry budget.
	maxSavedRetries = 5
	// minSavedAfterFailure is how many retries the budget must hold to retry a
	// run that failed. It's more than 1, as the retry repeats the run's calls.
	minSavedAfterFailure = 3
	// maxOffers is the largest number of gates that a request is offered to if
	// each of them refuses it or can't be reached.
	maxOffers = 3
	// minRemainingMillis is the shortest remaining time with which a request is
	// offered to another gate, or a stopping node accepts a child call.
	minRemainingMillis = 10
	bearer             = "Bearer "
	// defaultTimeoutMillis is the timeout of a request if neither its route nor
	// its caller sets one.
	defaultTimeoutMillis = 30_000
	// unknownRemainingMillis is used as the remaining time to compute Retry-After
	// for a request that was refused before its deadline was set. It gives delays
	// of less than 200 ms.
	unknownRemainingMillis = 600
)

// gate is the node's own gate.
type gate interface {
	Do(ctx context.Context, r *http.Request, h http.Header, b body.Body, t trip.Trip) output.Output
	Slowness() float64
}

// Entry serves callers. It's safe for use by multiple goroutines.
type Entry struct {
	clock       clock.Clock
	headerNames dialct.Dialect
	// self is the node's identity among its peers, address the IP address in it.
	self    string
	address string
	// service is the name of the service that the node's own target runs.
	service  string
	config   func() *config.Config
	gate     gate
	intake   *intake.Intake
	hops     *hops.Hops
	picker   *picker.Picker
	screen   *screen.Screen
	ration   *ration.Ration
	split    *split.Split
	parents  *parent.Registry
	suspects *crash.Suspects
	log      *slog.Logger
	// registry holds the counters and latencies of requests.
	registry metrics.Registry
	// exitAtMillis is when a stopping node exits, by its clock; 0 while it isn't
	// stopping.
	exitAtMillis atomic.Int64
	// mutex guards retryBudgets and the budgets in it.
	mutex sync.Mutex
	// retryBudgets holds a budget for each service. Each first attempt adds
	// retryRatio to it.
	retryBudgets map[string]*ratio.Ratio
	retryRatio   float64
}

// New returns the entry of the node that peers know as self, a host and port,
// beside a target of this service. At each service, the retries of all nodes
// together are bounded to retryRatio of its requests. Config returns nil until a
// configuration is known. Seed seeds the split of routes over services.
func New(
	clock clock.Clock, headerNames dialct.Dialect, self, service string, retryRatio float64, config func() *config.Config,
	gate gate, intake *intake.Intake, hops *hops.Hops, picker *picker.Picker, screen *screen.Screen, ration *ration.Ration,
	parents *parent.Registry, suspects *crash.Suspects, seed uint64, log *slog.Logger, registry metrics.Registry,
) *Entry {
	address, _, _ := net.SplitHostPort(self)
	return &Entry{
		clock:        clock,
		headerNames:  headerNames,
		self:         self,
		service:      service,
		address:      address,
		config:       config,
		gate:         gate,
		intake:       intake,
		hops:         hops,
		picker:       picker,
		screen:       screen,
		ration:       ration,
		split:        split.New(seed),
		parents:      parents,
		suspects:     suspects,
		log:          log,
		registry:     registry,
		retryBudgets: make(map[string]*ratio.Ratio),
		retryRatio:   retryRatio * localRetryFraction,
	}
}

// request is one request that the entry handles.
type request struct {
	*http.Request
	writer http.ResponseWriter
	id     string
	// startedAt and deadline are in milliseconds of the node's clock. The
	// deadline is 0 until the route and team are known.
	startedAt float64
	deadline  float64
	route     route.Route
	team      team.Team
	trip      trip.Trip
	// configVersion is the version of the configuration that the request uses.
	configVersion int64
	body          body.Body
	// peer and target are the node and the target of the last offer.
	peer   string
	target string
	// offers counts the gates that the request was offered to. attempts counts
	// the attempts at a target that ended while the request could be sent again: with
	// a buffered body, at least minRemainingMillis left and a context that hasn't
	// ended. Offers that a gate refused aren't counted.
	offers   int
	attempts int
}

// ServeHTTP serves one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: r, writer: w, startedAt: e.clock.Fine(), id: r.Header.Get(e.headerNames.RequestID)}
	o := e.handle(q).WithCause(r.Context())
	defer q.body.Release()
	duplex.Discard(w, r)
	duplex.Allow(w, r)
	e.finish(w, q, o)
}

// handle admits or refuses the request, and sends an admitted one to an instance.
func (e *Entry) handle(q *request) output.Output {
	if accept.IsExcess(q.Context()) {
		return output.Refused(reason.Overloaded, "too many connections are open at the entry")
	}
	conf := e.config()
	if conf == nil {
		return output.Refused(reason.NotInForce, "no configuration is known yet")
	}
	q.configVersion = conf.Version()
	if o, ok := e.match(conf, q); !ok {
		return o
	}
	e.setTrip(q)
	if o, ok := e.checkExit(q); !ok {
		return o
	}
	if !q.trip.Call {
		if !e.screen.Admits(q.trip.Root, q.trip.Team, q.trip.Grade) {
			metrics.GetOrRegisterCounter("entry.divide.refused", e.registry).Inc(1)
			return output.Refused(reason.Overloaded, "a service that the route needs is overloaded")
		}
		if retryAfter, ok := e.ration.Admit(q.team.Name); !ok {
			return output.Refused(reason.RateExceeded, "over the team's rate: "+e.ration.State(q.team.Name)).WithRetryAfter(retryAfter)
		}
	}
	var err error
	if q.body, err = e.intake.Read(q.writer, q.Request, q.deadline-e.clock.Fine()); err != nil {
		return intake.Refuse(err)
	}
	if socket.ClosedByPeer(q.Request) {
		return output.Refused(reason.Cancelled, "the caller has gone")
	}
	if o, ok := e.checkCrashSuspect(q); !ok {
		return o
	}
	e.stripHeaders(q.Header)
	q.trip.Service = e.split.Next(q.route)
	return e.send(q)
}

// match finds the route of a request and, unless it's open to all, the team.
func (e *Entry) match(conf *config.Config, q *request) (output.Output, bool) {
	var ok bool
	host, _, _ := strings.Cut(q.Host, ":")
	if q.route, ok = conf.RouteOn(host, q.URL.Path); !ok {
		return output.Refused(reason.UnknownRoute, ""), false
	}
	if !q.route.OpenToAll {
		key, found := strings.CutPrefix(q.Header.Get("Authorization"), bearer)
		if !found {
			return output.Refused(reason.KeyMissing, ""), false
		}
		if q.team, ok = conf.TeamOfKey(keys.Hash(key)); !ok {
			return output.Refused(reason.KeyUnknown, ""), false
		}
	}
	return output.Output{}, true
}

// setTrip sets the deadline of the request and its metadata for other nodes. A
// child call inherits the root, grade, objective and fingerprint of the request that
// made it.
func (e *Entry) setTrip(q *request) {
	remaining := float64(q.route.TimeoutMillis)
	if remaining <= 0 {
		remaining = defaultTimeoutMillis
	}
	requested, err := strconv.ParseFloat(q.Header.Get(e.headerNames.RemainingMillis), 64)
	if err == nil && requested > 0 {
		remaining = min(remaining, requested)
	}
	q.deadline = q.startedAt + remaining
	objective := float64(q.route.ObjectiveMillis)
	if objective <= 0 {
		objective = remaining
	}
	q.trip = trip.Trip{
		Root: q.route.Name, Grade: grade.New(q.team.Rank, q.team.Ranked, q.route.Rank), Team: q.team.Name, Origin: e.service,
		LeftMillis: remaining, ObjectiveMillis: objective, Idempotent: q.route.Idempotent,
	}
	if !e.isCall(q) {
		return
	}
	q.trip.Call = true
	if p, ok := e.parents.Find(q.id); ok {
		q.trip.Root, q.trip.Grade, q.trip.Retry, q.trip.Fingerprint = p.Root, p.Grade, p.Retry, p.Fingerprint
		// The objective of the root request orders the queues along the chain:
		// a chain that began earlier is served first, so that it waits once and
		// not at each of its calls.
		q.trip.ObjectiveMillis = p.ObjectiveMillis
	}
}

// isCall reports whether the target beside the node sent the request. That
// holds if it comes from this instance, without a key and on a route that needs
// none.
func (e *Entry) isCall(q *request) bool {
	host, _, _ := net.SplitHostPort(q.RemoteAddr)
	return host == e.address && q.route.OpenToAll && q.Header.Get("Authorization") == ""
}

// stripHeaders removes the header fields that a caller must not pass to a target.
func (e *Entry) stripHeaders(h http.Header) {
	heads.RemoveHopHeaders(h)
	for _, name := range []string{"Authorization", e.headerNames.Team, e.headerNames.Origin, e.headerNames.ExpectedTarget, e.headerNames.RemainingMillis, trip.Header} {
		h.Del(name)
	}
}

// send offers the request to instances until one ran it or it may not be offered
// to another.
func (e *Entry) send(q *request) output.Output {
	tried := make(map[string]bool)
	e.retryBudget(q.trip.Service).countFirstAttempt(q.trip.Retry)
	var last output.Output
	for {
		c, ok := e.picker.Pick(q.trip.Service, tried)
		if !ok {
			if q.offers == 0 {
				return output.Refused(reason.NoInstance, "no instance of "+q.trip.Service+" is known")
			}
			return last
		}
		if last.Close != nil {
			// Nobody needs the rest of the last response.
			last.Close()
		}
		q.offers++
		tried[c.Peers] = true
		q.peer, q.target = c.Peers, c.Target
		sentAt := e.clock.Now()
		t := q.trip.WithElapsed(e.clock.Fine()-q.startedAt).
			WithRateLimit(card.Hash(c.Target), float64(c.RateLimit), float64(c.RateLimitAgeMillis))
		if c.Peers == e.self {
			last = e.gate.Do(q.Context(), q.Request, q.Header, q.body, t)
			e.picker.Done(c.Peers, true)
			e.picker.LearnSlowness(c.Peers, e.gate.Slowness())
		} else {
			var reached bool
			last, reached = e.hops.Do(q.Context(), c.Peers, c.Hops, q.Request, q.Header, q.body, t)
			e.picker.Done(c.Peers, reached)
			e.recordLost(q, c, last, reached, sentAt)
		}
		e.learnAdvice(c, last)
		if !e.allowRetry(q, last) {
			return last
		}
	}
}

// learnAdvice takes in what a response says about the target of the card. The gate
// logs headers that it ignores.
func (e *Entry) learnAdvice(c card.Card, o output.Output) {
	if !o.HasResponse() {
		return
	}
	a, _ := advice.Read(o.Header, e.headerNames)
	if a.Limited || a.Leaving || c.RateLimit > 0 {
		e.picker.LearnAdvice(c, a)
	}
}

// finish logs the request and responds to the caller.
func (e *Entry) finish(w http.ResponseWriter, q *request, o output.Output) {
	e.record(q, o)
	if o.HasResponse() {
		hops.RemoveOwnHeaders(o.Header)
		o.Write(w)
		return
	}
	heads.SetOrRemove(w.Header(), e.headerNames.RequestID, q.id)
	now := e.clock.Fine()
	remaining := q.deadline - now
	if q.deadline == 0 {
		// The request was refused before its deadline was set.
		remaining = unknownRemainingMillis
	}
	writeFailure(w, o, remaining, q.trip.ObjectiveMillis-(now-q.startedAt), rand.Float64())
}
