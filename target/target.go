// Package target is the stand-in for a target instance: a service in its own
// process that takes time, sheds load, drains, calls other services and
// records each run, so that tests can check what really ran.
package target

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/runlog"
	"bergamotloom.example/traits"
)

const (
	announceEvery  = time.Second
	sampleEvery    = 20 * time.Millisecond
	nodeTimeout    = 800 * time.Millisecond
	stopTimeout    = 5 * time.Minute
	headerTimeout  = 10 * time.Second
	idleConns      = 1024
	crashExitCode  = 3
	traitsBodySize = 1 << 20
)

// Target is one stand-in instance of a service. Make it with New.
type Target struct {
	service   string
	node      string
	announced string
	address   string
	clock     clock.Clock
	runs      *runlog.Log
	log       *slog.Logger
	exit      func(code int)
	client    *http.Client
	slots     slots
	reporter  reporter
	traits    atomic.Pointer[traits.Traits]
	shed      atomic.Int64
	start     int64
	drain     atomic.Int64
	mutex     sync.Mutex
	random    *rand.Rand
}

// New returns a target of the service. It announces itself to the node with
// this local address, if that isn't empty, under the announced address or, if
// that is empty, the one that it serves on. Random draws follow from the seed.
// A request with the crash mark calls exit.
func New(
	service, node, announced string,
	first traits.Traits,
	seed uint64,
	c clock.Clock,
	runs *runlog.Log,
	log *slog.Logger,
	exit func(code int),
) *Target {
	t := &Target{
		service:   service,
		node:      node,
		announced: announced,
		clock:     c,
		runs:      runs,
		log:       log,
		exit:      exit,
		client:    &http.Client{Transport: newTransport()},
		start:     c.Now(),
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
	t.traits.Store(&first)
	return t
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConns,
		DisableCompression:  true,
	}
}

// Serve takes requests on the listener until ctx ends. Then it leaves, finishes
// the requests that it has, and returns.
func (t *Target) Serve(ctx context.Context, listener net.Listener) error {
	t.address = listener.Addr().String()
	duties, stopDuties := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { t.repeat(duties, announceEvery, t.announce) })
	done.Go(func() { t.repeat(duties, sampleEvery, t.sample) })
	defer done.Wait()
	defer stopDuties()

	server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "target: serving")
	case <-ctx.Done():
	}
	t.leave(duties)
	limit, cancel := context.WithTimeout(duties, stopTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(limit), "target: stopping")
}

// repeat runs a duty at once and then at each interval until ctx ends.
func (t *Target) repeat(ctx context.Context, interval time.Duration, duty func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		duty(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/loom/health", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/loom/load", t.showLoad)
	e.POST("/standin/drain", t.startDrain)
	e.GET("/standin/state", t.showState)
	e.GET("/standin/traits", t.showTraits)
	e.PUT("/standin/traits", t.putTraits)
	e.GET("/standin/runs", t.showRuns)
	e.DELETE("/standin/runs", t.clearRuns)
	e.Any("/*", t.serve)
	return e
}

func (t *Target) showLoad(c echo.Context) error {
	running, waiting := t.slots.load()
	return c.JSON(http.StatusOK, t.reporter.report(*t.traits.Load(), running+waiting))
}

// state is the answer to GET /standin/state.
type state struct {
	Service  string
	Running  int
	Waiting  int
	Shed     int64
	Draining bool
}

func (t *Target) showState(c echo.Context) error {
	running, waiting := t.slots.load()
	return c.JSON(http.StatusOK, state{
		Service:  t.service,
		Running:  running,
		Waiting:  waiting,
		Shed:     t.shed.Load(),
		Draining: t.drain.Load() > 0,
	})
}

func (t *Target) showTraits(c echo.Context) error {
	return c.JSON(http.StatusOK, t.traits.Load())
}

// putTraits changes the traits that the body names and keeps the others.
func (t *Target) putTraits(c echo.Context) error {
	next := *t.traits.Load()
	body := http.MaxBytesReader(c.Response(), c.Request().Body, traitsBodySize)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&next); err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	if err := next.Check(); err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	t.traits.Store(&next)
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) showRuns(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "application/x-ndjson")
	return t.runs.Write(c.Response())
}

func (t *Target) clearRuns(c echo.Context) error {
	t.runs.Clear()
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) startDrain(c echo.Context) error {
	t.leave(c.Request().Context())
	return c.NoContent(http.StatusNoContent)
}

// leave tells the node once that the target takes no new work. The target
// still runs what reaches it, and records how late that was.
func (t *Target) leave(ctx context.Context) {
	if t.drain.CompareAndSwap(0, t.clock.Now()) {
		t.tellNode(ctx, "/loom/leave", "")
	}
}

// announcement is the body of POST /loom/announce.
type announcement struct {
	Service string
	Address string
	Slots   int
}

func (t *Target) announce(ctx context.Context) {
	if t.drain.Load() > 0 {
		return
	}
	address := t.announced
	if address == "" {
		address = t.address
	}
	body, err := json.Marshal(announcement{t.service, address, t.traits.Load().Slots})
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	t.tellNode(ctx, "/loom/announce", string(body))
}

func (t *Target) tellNode(ctx context.Context, path, body string) {
	if t.node == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.node+path, strings.NewReader(body))
	if err != nil {
		t.log.Warn("target: the node's address is no address", "error", err)
		return
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := t.client.Do(request)
	if err != nil {
		t.log.Warn("target: the node didn't answer", "path", path, "error", err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		t.log.Warn("target: the node refused", "path", path, "status", answer.StatusCode)
	}
}

func (t *Target) sample(context.Context) {
	running, waiting := t.slots.load()
	t.reporter.sample(t.clock.Now(), t.traits.Load().ReportLagMillis, running+waiting)
}
