// Package inbnd is a node's gate: it receives requests for the target beside the
// node, admits as many as the target can run, and forwards them.
package inbnd

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/body"
	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/conns"
	"bergamotloom.example/crash"
	"bergamotloom.example/dialct"
	"bergamotloom.example/govern"
	"bergamotloom.example/heads"
	"bergamotloom.example/named"
	"bergamotloom.example/notice"
	"bergamotloom.example/output"
	"bergamotloom.example/parent"
	"bergamotloom.example/queue"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
	"bergamotloom.example/sched"
	"bergamotloom.example/speed"
	"bergamotloom.example/trip"
	"bergamotloom.example/warmup"
)

const (
	// maxRefusalBytes bounds how much of the body of a target's refusal is read.
	maxRefusalBytes = 64 << 10
	// maxMissedHeartbeats is after how many missed heartbeats a target counts as
	// silent.
	maxMissedHeartbeats = 4
	// stateLogMillis is the minimum time between two log lines of the gate's
	// state.
	stateLogMillis = 1000
	// closeUnusableMillis is the time between two checks of the idle connections.
	closeUnusableMillis = 1000
	// probeTimeout bounds the wait of a probe: a target on the same instance
	// accepts or refuses a connection within milliseconds.
	probeTimeout = 200 * time.Millisecond
	// responseGraceMillis is how long after the deadline to wait for the target's
	// response. A target stops its work at the deadline and says so.
	responseGraceMillis = 80
	// sampleSize is how many values a histogram keeps for its quantiles.
	sampleSize = 1024
)

// Gate is the gate of one target. It's safe for concurrent use.
type Gate struct {
	clock   clock.Clock
	dialect dialct.Dialect
	// self is the node's identity among its peers.
	self    string
	service string
	pool    *conns.Conns
	queue   *queue.Queue
	// runningRequests holds the trips of the requests that run at the target, by
	// request ID.
	runningRequests *parent.Registry
	suspects        *crash.Suspects
	crashes         *crashDetector
	onLeaving       func(target string)
	log             *slog.Logger
	// waitMillis and runMillis record how long requests wait and run.
	waitMillis metrics.Histogram
	runMillis  metrics.Histogram
	// runs counts the requests that were sent to the target.
	runs     metrics.Counter
	registry metrics.Registry
	// heartbeatMillis is the interval between two heartbeats.
	heartbeatMillis int64

	mutex sync.Mutex
	// target is the last heartbeat, lastSeenMillis when it was received.
	target         notice.Notice
	lastSeenMillis int64
	// reachable is true from a heartbeat until the target falls silent or can't
	// be reached.
	reachable bool
	// departures says which targets have left, by ID.
	departures     departures
	lastLeftTarget string
	stopping       bool
	// evacuated says that the data centre is under evacuation. EvacuationEnds counts the
	// ends of evacuations.
	evacuated      bool
	evacuationEnds int
	governor       *govern.Governor
	// named is the rate limit of the target.
	named *named.Named
	// warmup is the cold start of the target. coldRate is the bound on its rate that is
	// in force, 0 if there's none.
	warmup       *warmup.Warmup
	coldRate     float64
	speed        *speed.Speed
	coldLoggedAt int64
	healthPath   string
	// coldAnsweredUntil is when the target stops being cold by its last answer at its health
	// path; 0 if there was none since its start.
	coldAnsweredUntil int64
	stateLoggedAt     int64
	runsLogged        int64
	limitLoggedAt     int64
	malformedLoggedAt int64
	slotsLoggedAt     int64
	// malformedResponseAt is when a malformed response was last logged.
	malformedResponseAt int64
	closedUnusableAt    int64
}

// New returns the gate of the target at the pool's address, which runs this
// service, at the node that peers know as self. HeartbeatMillis is the interval of the target's heartbeats in
// milliseconds. FirstStart says that no earlier process of the node can have
// sent requests to the target. The gate admits no request before the first
// heartbeat. It calls onLeaving when a response of the target says that it leaves.
func New(c clock.Clock, dialect dialct.Dialect, self, service string, heartbeatMillis int64, firstStart bool, pool *conns.Conns, runningRequests *parent.Registry, suspects *crash.Suspects, onLeaving func(target string), log *slog.Logger, registry metrics.Registry) *Gate {
	q := queue.New(c)
	g := &Gate{
		clock:           c,
		dialect:         dialect,
		self:            self,
		service:         service,
		pool:            pool,
		queue:           q,
		runningRequests: runningRequests,
		suspects:        suspects,
		onLeaving:       onLeaving,
		crashes:         newCrashDetector(c, suspects, log),
		log:             log,
		waitMillis:      metrics.GetOrRegisterHistogram("gate.wait.millis", registry, metrics.NewUniformSample(sampleSize)),
		runMillis:       metrics.GetOrRegisterHistogram("gate.run.millis", registry, metrics.NewUniformSample(sampleSize)),
		runs:            metrics.GetOrRegisterCounter("gate.runs", registry),
		registry:        registry,
		heartbeatMillis: heartbeatMillis,
		departures:      make(departures),
		governor:        govern.New(c, q, 1),
		named:           named.New(c, firstStart),
		warmup:          warmup.New(c),
		speed:           speed.New(c),
	}
	g.applyBounds()
	return g
}

// Do runs a request at the target as soon as a slot is free, and returns its
// outcome: a response, a refusal or a lost request.
func (g *Gate) Do(ctx context.Context, r *http.Request, h http.Header, b body.Body, t trip.Trip) output.Output {
	arrivedAt := g.clock.Fine()
	g.recordArrival(t)
	target, ok := g.current()
	if t.Service == g.service && g.isEvacuated() {
		return output.Refused(reason.Evacuated, evacuatedDetail)
	}
	if !ok || t.Service != g.service {
		return output.Refused(reason.NoInstance, "no target of the service here")
	}
	deadline := arrivedAt + t.LeftMillis
	startMillis := arrivedAt + sched.StartMillis(t.ObjectiveMillis, t.Grade)
	if refusal := g.queue.Acquire(ctx, startMillis, deadline); refusal != "" {
		if refusal == reason.Leaving && g.isEvacuated() {
			return output.Refused(reason.Evacuated, evacuatedDetail)
		}
		return output.Refused(refusal, g.refusalDetail(refusal))
	}
	defer g.queue.Release()
	g.waitMillis.Update(int64(g.clock.Fine() - arrivedAt))
	// The target may have left while the request waited.
	if now, ok := g.current(); !ok || now.Target != target.Target {
		if g.isEvacuated() {
			return output.Refused(reason.Evacuated, evacuatedDetail)
		}
		return output.Refused(reason.Leaving, "the target left")
	}
	// More may be known of the request than when it was admitted at its entry.
	if remaining, refused := g.suspects.Refuses(t.Fingerprint); refused {
		return output.Refused(reason.CrashSuspect, "at the gate: "+strings.Join(g.suspects.Crashes(t.Fingerprint), "; ")).WithRetryAfter(remaining)
	}
	leftMillis := deadline - g.clock.Fine()
	if leftMillis < 1 {
		return output.Refused(reason.DeadlineExceeded, "at the gate")
	}
	return g.run(ctx, r, h, b, t, target, leftMillis)
}

func (g *Gate) run(ctx context.Context, r *http.Request, h http.Header, b body.Body, t trip.Trip, target notice.Notice, leftMillis float64) output.Output {
	g.setHeaders(h, t, target.Target, leftMillis)
	g.recordSent()
	startedAt := g.clock.Fine()
	deadline := startedAt + leftMillis
	request := append(heads.AppendHead(nil, r, h, b.Length), b.Start...)
	id := h.Get(g.dialect.RequestID)
	g.runningRequests.Begin(id, t)
	defer g.runningRequests.End(id)
	isFirst := false
	accept := func(response *http.Response, first bool) bool {
		isFirst = first
		return g.isResponseTo(response, id)
	}
	response, done, sent, err := g.pool.Do(ctx, r.Method, request, b.WriteRest, accept, deadline+responseGraceMillis) //nolint:bodyclose // readResponse closes it.
	if err != nil {
		g.recordMalformed(target.Target, err)
		o := g.noResponse(ctx, target.Target, deadline, sent, err)
		if o.Ran == runst.Maybe {
			g.crashes.requestEnded(t.Fingerprint, startedAt, o.Reason == reason.InstanceLost)
		}
		g.recordRun(t, o, g.clock.Fine()-startedAt)
		return o
	}
	g.followAdvice(response, target, startedAt)
	canTrust := isFirst || id != "" && response.Header.Get(g.dialect.RequestID) == id
	o := g.readResponse(response, canTrust, func(complete bool) {
		switch {
		case !complete:
			g.crashes.requestEnded(t.Fingerprint, startedAt, ctx.Err() == nil)
		case g.isSuccess(response) && !t.Call:
			// One call that is harmless says nothing about the other calls of its root.
			g.suspects.ResponseReceived(t.Fingerprint)
		}
		done(complete)
	})
	if o.Reason != reason.InstanceLost {
		g.crashes.responded()
	}
	g.recordRun(t, o, g.clock.Fine()-startedAt)
	return o
}

// setHeaders sets the headers that the dialect has for nodes to send to a
// target.
func (g *Gate) setHeaders(h http.Header, t trip.Trip, target string, leftMillis float64) {
	h.Del(trip.Header)
	heads.SetOrRemove(h, g.dialect.RemainingMillis, strconv.Itoa(max(int(leftMillis), 1)))
	heads.SetOrRemove(h, g.dialect.Team, t.Team)
	heads.SetOrRemove(h, g.dialect.Origin, t.Origin)
	heads.SetOrRemove(h, g.dialect.ExpectedTarget, target)
}

// isResponseTo reports whether the response belongs to the request with this ID.
// A response with neither a request ID nor the target's signature can't be
// matched. It's accepted here; readResponse then treats it as a refusal or the
// request as lost.
func (g *Gate) isResponseTo(response *http.Response, id string) bool {
	responseID := response.Header.Get(g.dialect.RequestID)
	return responseID == id || responseID == "" && response.Header.Get(g.dialect.Signature) == ""
}

// isSuccess reports whether the target has run the request and its run didn't fail.
func (g *Gate) isSuccess(response *http.Response) bool {
	h := response.Header
	return h.Get(g.dialect.Signature) != "" && h.Get(g.dialect.NotExecuted) == "" && response.StatusCode < http.StatusInternalServerError
}

// probe marks the target as unreachable if it refuses a connection.
func (g *Gate) probe() {
	g.mutex.Lock()
	target, ok := g.target.Target, g.reachable && !g.target.Leaving && !g.stopping
	g.mutex.Unlock()
	if !ok {
		return
	}
	if err := g.pool.Probe(probeTimeout); errors.Is(err, syscall.ECONNREFUSED) {
		g.markUnreachable(target, err)
	}
}

// noResponse returns the outcome of a request without a response: a refusal if
// nothing of it was sent; else it's lost, as it may have run.
func (g *Gate) noResponse(ctx context.Context, target string, deadline float64, sent bool, err error) output.Output {
	switch {
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		// Nothing listens on the port: the target is down until its next heartbeat.
		g.markUnreachable(target, err)
		return output.Refused(reason.NoInstance, err.Error())
	case !sent && g.clock.Fine() >= deadline:
		return output.Refused(reason.DeadlineExceeded, err.Error())
	case !sent:
		return output.Refused(reason.NoInstance, err.Error())
	case ctx.Err() != nil:
		return output.Lost(reason.Cancelled, err.Error())
	case g.clock.Fine() >= deadline:
		return output.Lost(reason.DeadlineExceeded, err.Error())
	}
	return output.Lost(reason.InstanceLost, err.Error())
}

// readResponse reads the response, or the beginning of a long one. A refusal that
// can't be trusted may be the copy of an earlier one.
func (g *Gate) readResponse(response *http.Response, canTrust bool, done func(complete bool)) output.Output {
	if !canTrust && response.Header.Get(g.dialect.Signature) == "" {
		done(false)
		return output.Lost(reason.InstanceLost, "the answer may be a copy of an earlier one")
	}
	if response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(g.dialect.NotExecuted) != "" {
		read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
		// What follows in a longer body would be read as the next response.
		done(err == nil && read < maxRefusalBytes)
		return output.Refused(reason.TargetRefused, "the target answered "+strconv.Itoa(response.StatusCode)+" without a run")
	}
	if response.Header.Get(g.dialect.Signature) == "" || response.Header.Get("Content-Encoding") != "" {
		done(false)
		return output.Lost(reason.InstanceLost, "the answer isn't the target's")
	}
	o, err := output.Read(response, done)
	if err != nil {
		return output.Lost(reason.InstanceLost, err.Error())
	}
	return o
}

// recordArrival counts a request in the demand from which the threshold is set,
// and takes in the rate limit that its entry knows.
func (g *Gate) recordArrival(t trip.Trip) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.governor.RecordArrival(t.Grade, t.Root)
	if t.RateLimit > 0 && t.RateLimitTarget == card.Hash(g.target.Target) {
		g.changeLimit(func() { g.named.Learn(t.RateLimit, t.RateLimitAgeMillis) })
	}
}

// recordRun updates the statistics with the outcome of a run.
func (g *Gate) recordRun(t trip.Trip, o output.Output, millis float64) {
	served := o.HasResponse() && !o.Failed()
	if served {
		g.runMillis.Update(int64(millis))
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case served:
		g.governor.RecordServed(t.Root, t.Call, millis, g.speed.Normal(millis))
	case o.HasResponse() || o.Reason == reason.InstanceLost || o.Reason == reason.TargetRefused:
		g.governor.RecordFailed(millis)
	default:
		// The caller disconnected, the deadline passed, or the target couldn't be
		// reached, so only the time for which it held its slot is recorded.
		g.governor.RecordUnknown(millis)
	}
}

// Tick adjusts the limit and the threshold. It's called ten times a second.
func (g *Gate) Tick() {
	g.crashes.tick()
	if g.crashes.shouldProbe() {
		go g.probe()
	}
	g.closeUnusable()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	g.changeLimit(g.named.Expire)
	g.applyWarmup()
	s := g.governor.Tick()
	if now-g.stateLoggedAt >= stateLogMillis && (s.Running > 0 || !s.Cutoff.IsFull()) {
		g.stateLoggedAt = now
		runs := g.runs.Count()
		rate, limited := g.named.Rate()
		if !limited {
			rate = 0
		}
		limitSource, limitAgeMillis := g.named.Age()
		refused, delayed := g.queue.RateCosts()
		g.log.Info("gate: state", "Target", g.target.Target, "Limit", s.Limit, "Running", s.Running, "Waiting", s.Waiting,
			"RunMillis", s.RunMillis, "LineMillis", s.QueueDelayMillis, "Arrived", s.Arrived, "Cutoff", s.Cutoff.Grades, "Least", s.Cutoff.MinFractionScale, "Failing", s.Failing,
			"Runs", runs-g.runsLogged, "RateLimit", rate, "RateLimitSource", limitSource, "RateLimitAgeMillis", limitAgeMillis, "RefusedForRate", refused, "DelayedForRate", delayed, "Slowness", g.slowness())
		g.runsLogged = runs
	}
	if g.reachable && !g.target.Leaving && now-g.lastSeenMillis > maxMissedHeartbeats*g.heartbeatMillis {
		g.reachable = false
		g.queue.Close()
		g.log.Warn("gate: target is silent", "Target", g.target.Target, "SinceMillis", now-g.lastSeenMillis, "Running", s.Running)
	}
}

// closeUnusable closes idle connections that can't be used again, every
// closeUnusableMillis.
func (g *Gate) closeUnusable() {
	g.mutex.Lock()
	due := g.clock.Now()-g.closedUnusableAt >= closeUnusableMillis
	if due {
		g.closedUnusableAt = g.clock.Now()
	}
	g.mutex.Unlock()
	if due {
		g.pool.CloseUnusable()
	}
}

// Describe adds the gate's state to the node's card.
func (g *Gate) Describe(c card.Card) card.Card {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c.Service = g.service
	if g.accepts() {
		c.Target = g.target.Target
	}
	c.TargetStartMillis = g.target.BornMillis
	c.LeftTarget = g.lastLeftTarget
	c.LeftStartMillis, c.LeftRequestMillis = g.leftStartMillis(g.lastLeftTarget)
	return g.describeSpeed(g.governor.Describe(g.describeLimit(c)))
}

// Stop refuses new requests; those that run continue.
func (g *Gate) Stop() {
	g.mutex.Lock()
	g.stopping = true
	g.mutex.Unlock()
	g.queue.Close()
}

// Load returns how many requests run at the target and how many wait.
func (g *Gate) Load() (running, waiting int) {
	return g.queue.Load()
}
