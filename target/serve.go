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
	// wholeBytes is the largest answer that goes out with a Content-Length;
	// longer ones are streamed with a checksum as trailer.
	wholeBytes   = 32 << 10
	chunkBytes   = 32 << 10
	bytesPath    = "/bytes/"
	bytesParam   = "bytes"
	markerParam  = "marker"
	jitterDouble = 2
)

// serve runs one request of the service.
func (t *Target) serve(c echo.Context) error {
	ctx, cancel := withDeadline(c.Request())
	defer cancel()
	now := *t.traits.Load()
	if !t.slots.enter(ctx, now.Slots, now.Backlog) {
		t.shed.Add(1)
		return refuse.New(reason.Overloaded).Write(c.Response())
	}
	defer t.slots.leave()
	record := t.describe(c.Request(), now)
	serial, err := t.runs.Begin(record)
	if err != nil {
		return err
	}
	uploaded, outcome := t.run(ctx, c, now, record.Marker)
	return t.runs.End(serial, outcome, uploaded, t.clock.Now())
}

// withDeadline ends the work when the caller goes or its time is up.
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

func (t *Target) describe(r *http.Request, now traits.Traits) runrec.Run {
	run := runrec.Run{
		Target:         t.address,
		Service:        t.service,
		Life:           t.start,
		Request:        r.Header.Get(header.Request),
		Marker:         markerOf(r),
		Team:           r.Header.Get(header.Team),
		Rank:           r.Header.Get(header.Rank),
		Method:         r.Method,
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get(header.IdempotencyKey),
		Headers:        headerNames(r),
		SawKey:         sawKey(r, now.KeyMark),
		TimeoutMillis:  timeoutMillis(r),
		StartMillis:    t.clock.Now(),
	}
	if since := t.drain.Load(); since > 0 {
		run.DrainMillis = max(t.clock.Since(since), 1)
	}
	return run
}

// markerOf returns the name that the answer's content follows from.
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

func sawKey(r *http.Request, mark string) bool {
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

// run does the work of a request: it reads the body, takes its time, makes the
// calls and answers. It returns the body's length and the outcome.
func (t *Target) run(ctx context.Context, c echo.Context, now traits.Traits, marker string) (int64, string) {
	r := c.Request()
	hash := xxhash.New()
	uploaded, err := io.Copy(hash, r.Body)
	if err != nil {
		return uploaded, runrec.BodyCut
	}
	if marked(r, now.CrashMark) {
		t.log.Warn("target: crashing on a marked request", "path", r.URL.Path)
		t.exit(crashExitCode)
		return uploaded, runrec.Crashed
	}
	if !pause.For(ctx, t.workTime(now, r.URL.Path)) {
		return uploaded, stopped(ctx, c)
	}
	if !t.callAll(ctx, r, now, marker) {
		return uploaded, callLost(ctx, c)
	}
	upload := fmt.Sprintf("%d-%016x", uploaded, hash.Sum64())
	return uploaded, t.answer(c, marker, upload, answerSize(r, now))
}

func marked(r *http.Request, mark string) bool {
	return mark != "" && (r.Header.Get(mark) != "" || r.URL.Query().Has(mark))
}

// workTime draws how long a run takes at the present load and age.
func (t *Target) workTime(now traits.Traits, path string) time.Duration {
	t.mutex.Lock()
	draw := t.random.Float64()
	t.mutex.Unlock()
	millis := now.MeanWorkMillis(path) * (1 + now.Jitter*(jitterDouble*draw-1))
	_, waiting := t.slots.load()
	millis *= 1 + now.SlowDown*float64(waiting)/float64(now.Slots)
	if t.clock.Since(t.start) < now.ColdMillis {
		millis *= now.ColdFactor
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// stopped answers a request whose time ran out or whose caller went away.
func stopped(ctx context.Context, c echo.Context) string {
	if c.Request().Context().Err() != nil {
		return runrec.Cancelled
	}
	if ctx.Err() != nil {
		c.Response().WriteHeader(http.StatusGatewayTimeout)
	}
	return runrec.TimedOut
}

func callLost(ctx context.Context, c echo.Context) string {
	if ctx.Err() != nil {
		return stopped(ctx, c)
	}
	c.Response().WriteHeader(http.StatusBadGateway)
	return runrec.CallLost
}

// answerSize is what the path or the query asks for, else the usual size.
func answerSize(r *http.Request, now traits.Traits) int64 {
	wanted := r.URL.Query().Get(bytesParam)
	if _, size, ok := strings.Cut(r.URL.Path, bytesPath); ok {
		wanted = size
	}
	size, err := strconv.ParseInt(wanted, 10, 64)
	if err != nil || size < 0 {
		return now.AnswerBytes
	}
	return size
}

// answer sends the bytes that follow from the marker.
func (t *Target) answer(c echo.Context, marker, upload string, size int64) string {
	w := c.Response()
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set(header.Marker, marker)
	h.Set(header.Target, t.address)
	h.Set(header.Size, strconv.FormatInt(size, 10))
	h.Set(header.Upload, upload)
	if size <= wholeBytes {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	} else {
		h.Set("Trailer", header.Checksum)
	}
	w.WriteHeader(http.StatusOK)
	hash := xxhash.New()
	body := io.TeeReader(fill.New(marker, size), hash)
	if _, err := io.CopyBuffer(plainWriter{w}, body, make([]byte, chunkBytes)); err != nil {
		return runrec.AnswerCut
	}
	if size > wholeBytes {
		h.Set(header.Checksum, fmt.Sprintf("%016x", hash.Sum64()))
	}
	return runrec.Served
}

// plainWriter hides ReadFrom, so that a copy uses its own buffer.
type plainWriter struct {
	io.Writer
}
