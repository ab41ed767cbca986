package target

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"bergamotloom.example/fill"
	"bergamotloom.example/header"
	"bergamotloom.example/pause"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/runrec"
	"bergamotloom.example/traits"
)

const (
	// maxUnchunkedBytes is the largest response that is sent with a
	// Content-Length; larger ones are streamed with a checksum as trailer.
	maxUnchunkedBytes = 32 << 10
	chunkBytes        = 32 << 10
	bytesPath         = "/bytes/"
	bytesParam        = "bytes"
	markerParam       = "marker"
	// jitterRangeFactor makes the range of the jitter twice as wide as Jitter:
	// from -Jitter to +Jitter.
	jitterRangeFactor = 2
)

// serve runs one request of the service.
func (t *Target) serve(c echo.Context) error {
	ctx, cancel := withDeadline(c.Request())
	defer cancel()
	behaviour := *t.traits.Load()
	if !t.slots.acquire(ctx, behaviour.Slots, behaviour.Backlog) {
		t.shed.Add(1)
		return refuse.New(reason.Overloaded).Write(c.Response())
	}
	defer t.slots.release()
	record := t.newRun(c.Request(), behaviour)
	serial, err := t.runs.Begin(record)
	if err != nil {
		return err
	}
	uploaded, outcome := t.run(ctx, c, behaviour, record.Marker)
	return t.runs.End(serial, outcome, uploaded, t.clock.Now())
}

// withDeadline ends the context when the caller disconnects or its timeout
// expires.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis := timeoutMillis(r)
	if millis <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

func timeoutMillis(r *http.Request) int64 {
	millis, err := strconv.ParseInt(r.Header.Get(header.Timeout), 10, 64)
	if err != nil {
		return 0
	}
	return millis
}

// newRun returns the record of a run that starts now.
func (t *Target) newRun(r *http.Request, behaviour traits.Traits) runrec.Run {
	run := runrec.Run{
		Target:         t.address,
		Service:        t.service,
		Life:           t.startMillis,
		Request:        r.Header.Get(header.Request),
		Marker:         markerOf(r),
		Team:           r.Header.Get(header.Team),
		Rank:           r.Header.Get(header.Rank),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get(header.IdempotencyKey),
		Headers:        headerNames(r),
		SawKey:         mayLeakKey(r, behaviour.KeyMark),
		TimeoutMillis:  timeoutMillis(r),
		StartMillis:    t.clock.Now(),
	}
	if since := t.leaveStartMillis.Load(); since > 0 {
		run.DrainMillis = max(t.clock.Since(since), 1)
	}
	return run
}

// markerOf returns the marker that determines the content of the response.
func markerOf(r *http.Request) string {
	if marker := r.Header.Get(header.Marker); marker != "" {
		return marker
	}
	if marker := r.URL.Query().Get(markerParam); marker != "" {
		return marker
	}
	return r.Header.Get(header.Request)
}

func headerNames(r *http.Request) []string {
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// mayLeakKey reports whether the request may leak an API key: it has an
// Authorization header, or the key mark is in the URI or in a header.
func mayLeakKey(r *http.Request, mark string) bool {
	if r.Header.Get(header.Authorization) != "" {
		return true
	}
	if mark == "" {
		return false
	}
	if strings.Contains(r.RequestURI, mark) {
		return true
	}
	for _, values := range r.Header {
		if strings.Contains(strings.Join(values, "\n"), mark) {
			return true
		}
	}
	return false
}

// run serves a request: it reads the body, waits for the run time, makes the
// child calls and responds. It returns the body's length in bytes and the
// outcome.
func (t *Target) run(ctx context.Context, c echo.Context, behaviour traits.Traits, marker string) (int64, string) {
	r := c.Request()
	hash := xxhash.New()
	uploaded, err := io.Copy(hash, r.Body)
	if err != nil {
		c.Response().WriteHeader(http.StatusBadRequest)
		return uploaded, runrec.BodyCut
	}
	if isCrashRequest(r, behaviour.CrashMark) {
		t.log.Warn("target: crashing on a marked request", "path", r.URL.Path)
		t.exit(crashExitCode)
		return uploaded, runrec.Crashed
	}
	if !pause.For(ctx, t.runTime(behaviour, r.URL.Path)) {
		return uploaded, respondInterrupted(ctx, c)
	}
	if !t.callAll(ctx, r, behaviour, marker) {
		return uploaded, respondCallFailed(ctx, c)
	}
	upload := fmt.Sprintf("%d-%016x", uploaded, hash.Sum64())
	return uploaded, t.respond(c, marker, upload, responseBytes(r, behaviour))
}

func isCrashRequest(r *http.Request, mark string) bool {
	return mark != "" && (r.Header.Get(mark) != "" || r.URL.Query().Has(mark))
}

// runTime returns a random run time for the current load and for the time
// since the start.
func (t *Target) runTime(behaviour traits.Traits, path string) time.Duration {
	t.mutex.Lock()
	random := t.random.Float64()
	t.mutex.Unlock()
	millis := behaviour.MeanWorkMillis(path) * (1 + behaviour.Jitter*(jitterRangeFactor*random-1))
	_, waiting := t.slots.load()
	millis *= 1 + behaviour.SlowDown*float64(waiting)/float64(behaviour.Slots)
	if t.clock.Since(t.startMillis) < behaviour.ColdMillis {
		millis *= behaviour.ColdFactor
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// respondInterrupted handles a run whose context ended. If the caller has
// disconnected, it responds 499 and returns Cancelled: a caller that closed only its
// sending side would take an empty 200 for the end of the run. Otherwise the deadline
// has passed, and it responds 504 and returns TimedOut.
func respondInterrupted(ctx context.Context, c echo.Context) string {
	if c.Request().Context().Err() != nil {
		c.Response().WriteHeader(reason.Cancelled.Status())
		return runrec.Cancelled
	}
	if ctx.Err() != nil {
		c.Response().WriteHeader(http.StatusGatewayTimeout)
	}
	return runrec.TimedOut
}

// respondCallFailed responds to a request of which a child call failed. It returns
// the outcome.
func respondCallFailed(ctx context.Context, c echo.Context) string {
	if ctx.Err() != nil {
		return respondInterrupted(ctx, c)
	}
	c.Response().WriteHeader(http.StatusBadGateway)
	return runrec.CallLost
}

// responseBytes returns the size in bytes that the path or the query asks for,
// or else the default.
func responseBytes(r *http.Request, behaviour traits.Traits) int64 {
	requested := r.URL.Query().Get(bytesParam)
	if _, size, ok := strings.Cut(r.URL.Path, bytesPath); ok {
		requested = size
	}
	size, err := strconv.ParseInt(requested, 10, 64)
	if err != nil || size < 0 {
		return behaviour.AnswerBytes
	}
	return size
}

// respond sends the content that the marker determines. It returns the outcome.
func (t *Target) respond(c echo.Context, marker, upload string, size int64) string {
	w := c.Response()
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set(header.Marker, marker)
	h.Set(header.Target, t.address)
	h.Set(header.Size, strconv.FormatInt(size, 10))
	h.Set(header.Upload, upload)
	if size <= maxUnchunkedBytes {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	} else {
		h.Set("Trailer", header.Checksum)
	}
	w.WriteHeader(http.StatusOK)
	hash := xxhash.New()
	body := io.TeeReader(fill.New(marker, size), hash)
	if _, err := io.CopyBuffer(writerOnly{w}, body, make([]byte, chunkBytes)); err != nil {
		return runrec.AnswerCut
	}
	if size > maxUnchunkedBytes {
		h.Set(header.Checksum, fmt.Sprintf("%016x", hash.Sum64()))
	}
	return runrec.Served
}

// writerOnly hides ReadFrom, so that io.CopyBuffer uses the given buffer.
type writerOnly struct {
	io.Writer
}
