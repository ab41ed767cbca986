// Package inbnd is a node's gate: it takes requests for the target beside the
// node, lets in as many as the target can run, and passes them on.
package inbnd

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/conns"
	"bergamotloom.example/crash"
	"bergamotloom.example/dialct"
	"bergamotloom.example/govern"
	"bergamotloom.example/heads"
	"bergamotloom.example/notice"
	"bergamotloom.example/output"
	"bergamotloom.example/parent"
	"bergamotloom.example/queue"
	"bergamotloom.example/reason"
	"bergamotloom.example/sched"
	"bergamotloom.example/trip"
)

const (
	// refusalBytes is the most that is read of a target's refusal.
	refusalBytes = 64 << 10
	// silentBeats is after how many missing heartbeats a target is lost.
	silentBeats = 4
	// tellMillis passes between two lines of the gate's state.
	tellMillis = 1000
	// probeWait is for how long a probe waits for a connection: a target on the
	// same instance takes or refuses it within milliseconds.
	probeWait = 200 * time.Millisecond
	// sampleSize is how many times a histogram keeps to tell its quantiles.
	sampleSize = 1024
)

// Gate stands before one target. It's safe for many goroutines.
type Gate struct {
	clock   clock.Clock
	words   dialct.Dialect
	service string
	pool    *conns.Conns
	queue   *queue.Queue
	book    *parent.Registry
	marks   *crash.Marks
	deaths  *deaths
	log     *slog.Logger
	// waits and runs hold how long requests wait and run, in milliseconds.
	waits metrics.Histogram
	runs  metrics.Histogram
	// beatMillis is the time between two heartbeats.
	beatMillis int64

	mutex  sync.Mutex
	target notice.Notice
	// known says that target holds a heartbeat, heardAt when the last came.
	known   bool
	heardAt int64
	// left lists targets that said that they leave, by ID, with their start.
	left     map[string]int64
	lastLeft string
	stopping bool
	governor *govern.Governor
	toldAt   int64
}

// New returns the gate of the target at the pool's address, which runs this
// service. It lets nothing in before the target's first heartbeat.
func New(c clock.Clock, w dialct.Dialect, service string, beatMillis int64, pool *conns.Conns, book *parent.Registry, marks *crash.Marks, log *slog.Logger, registry metrics.Registry) *Gate {
	line := queue.New(c)
	return &Gate{
		clock:      c,
		words:      w,
		service:    service,
		pool:       pool,
		queue:      line,
		book:       book,
		marks:      marks,
		deaths:     newDeaths(c, marks, log),
		log:        log,
		waits:      metrics.GetOrRegisterHistogram("gate.wait.millis", registry, metrics.NewUniformSample(sampleSize)),
		runs:       metrics.GetOrRegisterHistogram("gate.run.millis", registry, metrics.NewUniformSample(sampleSize)),
		beatMillis: beatMillis,
		left:       make(map[string]int64),
		governor:   govern.New(c, line, 1),
	}
}

// Do runs a request at the target as soon as there's room. More sends what
// follows body, if length is greater than that of body or -1.
func (g *Gate) Do(ctx context.Context, r *http.Request, h http.Header, body []byte, more func(io.Writer) error, length int64, t trip.Trip) output.Output {
	began := g.clock.Fine()
	g.arrived(t)
	target, ok := g.current()
	if !ok || t.Service != g.service {
		return output.Refused(reason.NoInstance, "no target of the service here")
	}
	due := began + t.LeftMillis
	order := began + sched.StartMillis(t.GoalMillis, t.Grade)
	if why := g.queue.Acquire(ctx, order, due); why != "" {
		return output.Refused(why, "at the gate")
	}
	defer g.queue.Release()
	g.waits.Update(int64(g.clock.Fine() - began))
	// The target may have left while the request waited.
	if now, ok := g.current(); !ok || now.Target != target.Target {
		return output.Refused(reason.Leaving, "the target left")
	}
	left := due - g.clock.Fine()
	if left < 1 {
		return output.Refused(reason.DeadlineExceeded, "at the gate")
	}
	return g.run(ctx, r, h, body, more, length, t, target.Target, left)
}

func (g *Gate) run(ctx context.Context, r *http.Request, h http.Header, body []byte, more func(io.Writer) error, length int64, t trip.Trip, target string, left float64) output.Output {
	g.addHeaders(h, t, target, left)
	began := g.clock.Fine()
	due := began + left
	request := append(heads.Append(nil, r, h, length), body...)
	id := h.Get(g.words.RequestID)
	g.book.Begin(id, t)
	defer g.book.End(id)
	ours := func(a *http.Response) bool { return g.ours(a, id) }
	answer, done, sent, err := g.pool.Do(ctx, r.Method, request, more, ours, due) //nolint:bodyclose // read closes it.
	if err != nil {
		o := g.broken(ctx, target, due, sent, err)
		if o.Reason == reason.InstanceLost {
			g.deaths.lost(t.Mark, began)
		}
		g.ended(t, o, g.clock.Fine()-began)
		return o
	}
	o := g.read(answer, done)
	if o.HasResponse() {
		g.marks.Answered(t.Mark)
	}
	g.ended(t, o, g.clock.Fine()-began)
	return o
}

// addHeaders sets what the dialect lets nodes say to a target.
func (g *Gate) addHeaders(h http.Header, t trip.Trip, target string, leftMillis float64) {
	h.Del(trip.Header)
	heads.Set(h, g.words.RemainingMillis, strconv.Itoa(max(int(leftMillis), 1)))
	heads.Set(h, g.words.Team, t.Team)
	heads.Set(h, g.words.Origin, t.Origin)
	heads.Set(h, g.words.ExpectedTarget, target)
}

// ours tells whether the answer belongs to the request with this identity.
func (g *Gate) ours(a *http.Response, id string) bool {
	echo := a.Header.Get(g.words.RequestID)
	return echo == id || echo == "" && a.Header.Get(g.words.Signature) == ""
}

// probe finds out whether the target still takes connections.
func (g *Gate) probe() {
	target, ok := g.Target()
	if !ok {
		return
	}
	if err := g.pool.Probe(probeWait); errors.Is(err, syscall.ECONNREFUSED) {
		g.lose(target, err)
	}
}

// broken says what became of a request without an answer.
func (g *Gate) broken(ctx context.Context, target string, due float64, sent bool, err error) output.Output {
	switch {
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		// Nobody listens there: the target is lost until it's heard again.
		g.lose(target, err)
		return output.Refused(reason.NoInstance, err.Error())
	case !sent && g.clock.Fine() >= due:
		return output.Refused(reason.DeadlineExceeded, err.Error())
	case !sent:
		return output.Refused(reason.NoInstance, err.Error())
	case ctx.Err() != nil:
		return output.Lost(reason.Cancelled, err.Error())
	case g.clock.Fine() >= due:
		return output.Lost(reason.DeadlineExceeded, err.Error())
	}
	return output.Lost(reason.InstanceLost, err.Error())
}

// read takes the answer, or the begin of a long one.
func (g *Gate) read(answer *http.Response, done func(whole bool)) output.Output {
	if answer.StatusCode == http.StatusMisdirectedRequest || answer.Header.Get(g.words.NotExecuted) != "" {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, refusalBytes))
		done(err == nil)
		return output.Refused(reason.TargetRefused, "the target answered "+strconv.Itoa(answer.StatusCode)+" without a run")
	}
	if answer.Header.Get(g.words.Signature) == "" || answer.Header.Get("Content-Encoding") != "" {
		done(false)
		return output.Lost(reason.InstanceLost, "the answer isn't the target's")
	}
	o, err := output.Read(answer, done)
	if err != nil {
		return output.Lost(reason.InstanceLost, err.Error())
	}
	return o
}

// arrived counts a request for the threshold.
func (g *Gate) arrived(t trip.Trip) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.governor.RecordArrival(t.Grade, t.Root)
}

// ended takes in how a run went.
func (g *Gate) ended(t trip.Trip, o output.Output, millis float64) {
	served := o.HasResponse() && !o.Failed()
	if served {
		g.runs.Update(int64(millis))
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case served:
		g.governor.RecordServed(t.Root, t.Call, millis)
	case o.HasResponse() || o.Reason == reason.InstanceLost || o.Reason == reason.TargetRefused:
		g.governor.RecordFailed(millis)
	default:
		// Its caller left, its time ran out, or the target couldn't be reached.
		g.governor.RecordUnknown(millis)
	}
}

// Tick adapts the limit and the threshold. It's called ten times a second.
func (g *Gate) Tick() {
	g.deaths.tick()
	if g.deaths.doubt() {
		go g.probe()
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	s := g.governor.Tick()
	if now-g.toldAt >= tellMillis && (s.Running > 0 || !s.Cutoff.IsFull()) {
		g.toldAt = now
		g.log.Info("gate: state", "Target", g.target.Target, "Limit", s.Limit, "Running", s.Running, "Waiting", s.Waiting,
			"RunMillis", s.RunMillis, "LineMillis", s.QueueDelayMillis, "Arrived", s.Arrived, "Cutoff", s.Cutoff.Grades, "Least", s.Cutoff.MinFractionScale, "Failing", s.Failing)
	}
	if g.known && !g.target.Leaving && now-g.heardAt > silentBeats*g.beatMillis {
		g.known = false
		g.queue.Close()
		g.log.Warn("gate: target is silent", "Target", g.target.Target, "SinceMillis", now-g.heardAt, "Running", s.Running)
	}
}

// Describe adds the gate's state to the node's card.
func (g *Gate) Describe(c card.Card) card.Card {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	c.Service = g.service
	if g.known && !g.target.Leaving && !g.stopping {
		c.Target = g.target.Target
	}
	c.Left = g.lastLeft
	return g.governor.Describe(c)
}

// Stop refuses requests from now on; those that run go on.
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
