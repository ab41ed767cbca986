// Package target is a stand-in for a target instance: a service in its own
// process with configurable run times that sheds load, drains, calls other
// services and records each run, so that tests can check what the target ran.
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
	announceInterval   = time.Second
	sampleInterval     = 20 * time.Millisecond
	nodeTimeout        = 800 * time.Millisecond
	stopTimeout        = 5 * time.Minute
	headerTimeout      = 10 * time.Second
	maxIdleConns       = 1024
	crashExitCode      = 3
	maxTraitsBodyBytes = 1 << 20
)

// Target is one stand-in instance of a service. Make it with New.
type Target struct {
	service          string
	nodeAddress      string
	announcedAddress string
	address          string
	clock            clock.Clock
	runs             *runlog.Log
	log              *slog.Logger
	exit             func(code int)
	client           *http.Client
	slots            slots
	reporter         reporter
	traits           atomic.Pointer[traits.Traits]
	shed             atomic.Int64
	startMillis      int64
	leaveStartMillis atomic.Int64 // 0 until the target starts leaving
	mutex            sync.Mutex
	random           *rand.Rand
}

// New returns a target of the service. Unless nodeAddress is empty, the
// target announces itself to the node at that local address. It announces
// announcedAddress or, if that is empty, the address that it serves on. The seed
// determines all random values. A request with the crash mark calls exit.
func New(
	service, nodeAddress, announcedAddress string,
	initial traits.Traits,
	seed uint64,
	c clock.Clock,
	runs *runlog.Log,
	log *slog.Logger,
	exit func(code int),
) *Target {
	t := &Target{
		service:          service,
		nodeAddress:      nodeAddress,
		announcedAddress: announcedAddress,
		clock:            c,
		runs:             runs,
		log:              log,
		exit:             exit,
		client:           &http.Client{Transport: newTransport()},
		startMillis:      c.Now(),
		random:           rand.New(rand.NewPCG(seed, seed)),
	}
	t.traits.Store(&initial)
	return t
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
}

// Serve serves requests on the listener until ctx ends. Then the target leaves
// and Serve returns when the requests in flight are done, with an error if that
// takes longer than 5 minutes.
func (t *Target) Serve(ctx context.Context, listener net.Listener) error {
	t.address = listener.Addr().String()
	tasks, stopTasks := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { t.repeat(tasks, announceInterval, t.announce) })
	wait.Go(func() { t.repeat(tasks, sampleInterval, t.sample) })
	defer wait.Wait()
	defer stopTasks()

	server := &http.Server{Handler: t.handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "target: serving")
	case <-ctx.Done():
	}
	t.leave(tasks)
	stopContext, cancel := context.WithTimeout(tasks, stopTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(stopContext), "target: stopping")
}

// repeat runs a task immediately and then at each interval until ctx ends.
func (t *Target) repeat(ctx context.Context, interval time.Duration, task func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		task(ctx)
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

// state is the response body of GET /standin/state.
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
		Draining: t.leaveStartMillis.Load() > 0,
	})
}

func (t *Target) showTraits(c echo.Context) error {
	return c.JSON(http.StatusOK, t.traits.Load())
}

// putTraits changes the traits that the body names and keeps the others.
func (t *Target) putTraits(c echo.Context) error {
	next := *t.traits.Load()
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxTraitsBodyBytes)
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

// leave tells the node, once, that the target takes no new requests. The target
// still runs those that reach it, and records for each the time since it began
// to leave.
func (t *Target) leave(ctx context.Context) {
	if t.leaveStartMillis.CompareAndSwap(0, t.clock.Now()) {
		t.postToNode(ctx, "/loom/leave", "")
	}
}

// announcement is the body of POST /loom/announce.
type announcement struct {
	Service string
	Address string
	Slots   int
}

func (t *Target) announce(ctx context.Context) {
	if t.leaveStartMillis.Load() > 0 {
		return
	}
	address := t.announcedAddress
	if address == "" {
		address = t.address
	}
	body, err := json.Marshal(announcement{t.service, address, t.traits.Load().Slots})
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	t.postToNode(ctx, "/loom/announce", string(body))
}

// postToNode sends a request to the target's node. It logs a failure and doesn't
// retry.
func (t *Target) postToNode(ctx context.Context, path, body string) {
	if t.nodeAddress == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.nodeAddress+path, strings.NewReader(body))
	if err != nil {
		t.log.Warn("target: the node's address is no address", "error", err)
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(request)
	if err != nil {
		t.log.Warn("target: the node didn't answer", "path", path, "error", err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		t.log.Warn("target: the node refused", "path", path, "status", response.StatusCode)
	}
}

func (t *Target) sample(context.Context) {
	running, waiting := t.slots.load()
	t.reporter.sample(t.clock.Now(), t.traits.Load().ReportLagMillis, running+waiting)
}
