// Package outbnd is a node's entry: it takes the requests of the callers on its
// instance, and those of the target beside it, and sends each to an instance
// of the service that its route names.
package outbnd

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/crash"
	"bergamotloom.example/dialct"
	"bergamotloom.example/grade"
	"bergamotloom.example/heads"
	"bergamotloom.example/hops"
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
	// repeatPart of the fleet's budget is spent, as nodes don't see each other's
	// repeats.
	repeatPart = 0.6
	// savedRepeats is what the budget for a service saves up at a node.
	savedRepeats = 5
	// spareRepeats must be saved for the repeat of a run that failed.
	spareRepeats = 3
	// offers is to how many gates a request is offered that none lets in.
	offers = 3
	// leastMillis is the least time with which a request is offered once more.
	leastMillis = 10
	bearer      = "Bearer "
	// mostLeftMillis is the time of a request for which neither its route nor
	// its caller names one.
	mostLeftMillis = 30_000
	// defaultLeftMillis is taken for the time left of a request of which it
	// isn't known.
	defaultLeftMillis = 600
)

// gate is the node's own gate.
type gate interface {
	Do(ctx context.Context, r *http.Request, h http.Header, body []byte, more func(io.Writer) error, length int64, t trip.Trip) output.Output
}

// Entry serves callers. It's safe for many goroutines.
type Entry struct {
	clock clock.Clock
	words dialct.Dialect
	// self is the node's identity among its peers, address the IP number in it.
	self    string
	address string
	// service is that of the target beside the node.
	service string
	config  func() *config.Config
	gate    gate
	hops    *hops.Hops
	picker  *picker.Picker
	screen  *screen.Screen
	ration  *ration.Ration
	split   *split.Split
	book    *parent.Registry
	marks   *crash.Marks
	log     *slog.Logger
	// registry holds the counters and latencies of requests.
	registry metrics.Registry
	// endAt is when a stopping node ends, by its clock, else 0.
	endAt atomic.Int64
	mutex sync.Mutex
	// repeats holds a budget a service, which earns share with each request.
	repeats map[string]*ratio.Ratio
	share   float64
}

// New returns the entry of the node that peers know as self, beside a target of
// this service. RetryRatio bounds the repeats at a service, over all nodes, to
// a part of its requests.
func New(
	c clock.Clock, w dialct.Dialect, self, service string, retryRatio float64, conf func() *config.Config,
	g gate, h *hops.Hops, p *picker.Picker, s *screen.Screen, q *ration.Ration, b *parent.Registry, marks *crash.Marks,
	seed uint64, log *slog.Logger, registry metrics.Registry,
) *Entry {
	address, _, _ := net.SplitHostPort(self)
	return &Entry{
		clock:    c,
		words:    w,
		self:     self,
		service:  service,
		address:  address,
		config:   conf,
		gate:     g,
		hops:     h,
		picker:   p,
		screen:   s,
		ration:   q,
		split:    split.New(seed),
		book:     b,
		marks:    marks,
		log:      log,
		registry: registry,
		repeats:  make(map[string]*ratio.Ratio),
		share:    retryRatio * repeatPart,
	}
}

// request is one request on its way through the entry.
type request struct {
	*http.Request
	id      string
	began   float64
	due     float64
	route   route.Route
	team    team.Team
	trip    trip.Trip
	version int64
	// body was read before the request goes on; more sends the rest of a long one,
	// which can be done once. Length is that of both, or -1.
	body   []byte
	more   func(io.Writer) error
	length int64
	// peer and target are those that the request was offered to last.
	peer   string
	target string
	tries  int
	sends  int
}

// ServeHTTP serves one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Request: r, began: e.clock.Fine(), id: r.Header.Get(e.words.RequestID)}
	o := e.decide(q).WithCause(r.Context())
	e.finish(w, q, o)
}

// decide lets the request in or refuses it, and sends it on its way.
func (e *Entry) decide(q *request) output.Output {
	conf := e.config()
	if conf == nil {
		return output.Refused(reason.NotInForce, "no configuration is known yet")
	}
	q.version = conf.Version()
	if o, ok := e.match(conf, q); !ok {
		return o
	}
	e.trace(q)
	if o, ok := e.inTime(q); !ok {
		return o
	}
	if !q.trip.Call {
		if !e.screen.Admits(q.trip.Root, q.trip.Grade) {
			return output.Refused(reason.Overloaded, "a service that the route needs is overloaded")
		}
		if retry, ok := e.ration.Take(q.team.Name); !ok {
			return output.Refused(reason.RateExceeded, "over the team's rate").WithRetryAfter(retry)
		}
	}
	var err error
	if q.body, q.more, q.length, err = hops.ReadBody(q.Request); err != nil {
		return output.Refused(reason.BadRequest, "the body broke off")
	}
	if socket.ClosedByPeer(q.Request) {
		return output.Refused(reason.Cancelled, "the caller has gone")
	}
	if o, ok := e.harmless(q); !ok {
		return o
	}
	e.clean(q.Header)
	q.trip.Service = e.split.Next(q.route)
	return e.send(q)
}

// match finds the route and the team of a request.
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

// trace works out how long the request has, and for which caller's request it
// runs.
func (e *Entry) trace(q *request) {
	left := float64(q.route.TimeoutMillis)
	if left <= 0 {
		left = mostLeftMillis
	}
	named, err := strconv.ParseFloat(q.Header.Get(e.words.RemainingMillis), 64)
	if err == nil && named > 0 {
		left = min(left, named)
	}
	q.due = q.began + left
	goal := float64(q.route.ObjectiveMillis)
	if goal <= 0 {
		goal = left
	}
	q.trip = trip.Trip{
		Root: q.route.Name, Grade: grade.New(q.team.Rank, q.team.Ranked, q.route.Rank), Team: q.team.Name, Origin: e.service,
		LeftMillis: left, GoalMillis: goal, Idempotent: q.route.Idempotent,
	}
	if !e.isCall(q) {
		return
	}
	q.trip.Call = true
	if p, ok := e.book.Find(q.id); ok {
		q.trip.Root, q.trip.Grade, q.trip.Repeat = p.Root, p.Grade, p.Repeat
		// A chain that began earlier goes first at each step, so that it waits
		// once and not at each of its calls.
		q.trip.GoalMillis = p.GoalMillis
	}
}

// isCall tells whether the target beside the node sent the request: it comes
// from the own instance, by a route for which no key is needed.
func (e *Entry) isCall(q *request) bool {
	host, _, _ := net.SplitHostPort(q.RemoteAddr)
	return host == e.address && q.route.OpenToAll && q.Header.Get("Authorization") == ""
}

// clean drops what a caller may not say to a target.
func (e *Entry) clean(h http.Header) {
	heads.DropConnection(h)
	for _, name := range []string{"Authorization", e.words.Team, e.words.Origin, e.words.ExpectedTarget, e.words.RemainingMillis, trip.Header} {
		h.Del(name)
	}
}

// send offers the request to instances until one has run it, or none will.
func (e *Entry) send(q *request) output.Output {
	tried := make(map[string]bool)
	e.budget(q.trip.Service).first(q.trip.Repeat)
	var last output.Output
	for {
		c, ok := e.picker.Pick(q.trip.Service, tried)
		if !ok {
			if q.tries == 0 {
				return output.Refused(reason.NoInstance, "no instance of "+q.trip.Service+" is known")
			}
			return last
		}
		q.tries++
		tried[c.Peers] = true
		q.peer, q.target = c.Peers, c.Target
		t := q.trip.WithLeft(e.clock.Fine() - q.began)
		if c.Peers == e.self {
			last = e.gate.Do(q.Context(), q.Request, q.Header, q.body, q.more, q.length, t)
			e.picker.Done(c.Peers, true)
		} else {
			var reached bool
			last, reached = e.hops.Do(q.Context(), c.Peers, c.Hops, q.Request, q.Header, q.body, q.more, q.length, t)
			e.picker.Done(c.Peers, reached)
		}
		if !e.again(q, last) {
			return last
		}
		if last.Close != nil {
			last.Close()
		}
	}
}

// finish answers the caller.
func (e *Entry) finish(w http.ResponseWriter, q *request, o output.Output) {
	e.record(q, o)
	if o.HasResponse() {
		o.Write(w)
		return
	}
	heads.Set(w.Header(), e.words.RequestID, q.id)
	now := e.clock.Fine()
	left := q.due - now
	if q.due == 0 {
		// It was refused before its time was worked out.
		left = defaultLeftMillis
	}
	refuse(w, o, left, q.trip.GoalMillis-(now-q.began), rand.Float64())
}
