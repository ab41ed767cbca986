package target_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bergamotloom.example/clock"
	"bergamotloom.example/fill"
	"bergamotloom.example/header"
	"bergamotloom.example/runlog"
	"bergamotloom.example/runrec"
	"bergamotloom.example/runst"
	"bergamotloom.example/target"
	"bergamotloom.example/traits"
)

type fixture struct {
	url   string
	runs  *runlog.Log
	exits atomic.Int64
}

// serve runs a target until the test ends.
func serve(t *testing.T, node string, first traits.Traits) *fixture {
	t.Helper()
	f := &fixture{runs: runlog.New(nil)}
	exit := func(int) { f.exits.Add(1) }
	made := target.New("stock", node, "", first, 1, clock.New(), f.runs, slog.New(slog.DiscardHandler), exit)
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // test
	assert.NilError(t, err)
	f.url = "http://" + listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- made.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	return f
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

// ask sends a request with headers given as name, value, name, value.
func ask(ctx context.Context, t *testing.T, method, url string, body io.Reader, headers ...string) (reply, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	whole, err := io.ReadAll(answer.Body)
	return reply{answer.StatusCode, answer.Header, whole}, err
}

func waitRuns(t *testing.T, f *fixture, want ...string) []runrec.Run {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		got := []string{}
		for _, r := range f.runs.Runs() {
			got = append(got, r.Outcome)
		}
		if fmt.Sprint(got) == fmt.Sprint(want) {
			return poll.Success()
		}
		return poll.Continue("outcomes are %q, want %q", got, want)
	}, poll.WithDelay(5*time.Millisecond))
	return f.runs.Runs()
}

func TestAnswersAndUploadsFollowFromTheRequest(t *testing.T) {
	f := serve(t, "", traits.New(2))
	upload := bytes.Repeat([]byte("x"), 1<<20)
	for _, size := range []int64{0, 100, 3 << 20} {
		url := fmt.Sprintf("%s/any?bytes=%d", f.url, size)
		answer, err := ask(t.Context(), t, http.MethodPost, url, bytes.NewReader(upload), header.Marker, "m")
		assert.NilError(t, err)
		n, own, err := fill.Verify(bytes.NewReader(answer.body), "m", size)
		assert.NilError(t, err)
		assert.Assert(t, own && n == size)
		assert.Equal(t, answer.header.Get(header.Upload), fmt.Sprintf("%d-%016x", len(upload), xxhash.Sum64(upload)))
	}
	waitRuns(t, f, runrec.Served, runrec.Served, runrec.Served)
}

func TestRequestsOverSlotsAndBacklogNeverRun(t *testing.T) {
	first := traits.New(1)
	first.WorkMillis = 300
	f := serve(t, "", first)
	results := make(chan reply, 3)
	for range 3 {
		go func() {
			answer, err := ask(t.Context(), t, http.MethodGet, f.url+"/x", nil)
			assert.Check(t, err)
			results <- answer
		}()
	}
	refused := <-results
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.header.Get(runst.Header), string(runst.Never))
	<-results
	<-results
	waitRuns(t, f, runrec.Served, runrec.Served)
}

func TestWorkStopsWithItsCallerAndItsDeadline(t *testing.T) {
	first := traits.New(4)
	first.WorkMillis = 10_000
	f := serve(t, "", first)
	answer, err := ask(t.Context(), t, http.MethodGet, f.url+"/x", nil, header.Timeout, "20")
	assert.NilError(t, err)
	assert.Equal(t, answer.status, http.StatusGatewayTimeout)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = ask(ctx, t, http.MethodGet, f.url+"/x", nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	waitRuns(t, f, runrec.TimedOut, runrec.Cancelled)
}

func TestMarkedRequestEndsTheProcess(t *testing.T) {
	first := traits.New(1)
	first.CrashMark = "crash"
	f := serve(t, "", first)
	_, err := ask(t.Context(), t, http.MethodGet, f.url+"/x?crash", nil)
	assert.NilError(t, err)
	waitRuns(t, f, runrec.Crashed)
	assert.Equal(t, f.exits.Load(), int64(1))
}

func TestRecordShowsKeysThatLeaked(t *testing.T) {
	first := traits.New(1)
	first.KeyMark = "secret"
	f := serve(t, "", first)
	for _, headers := range [][]string{{}, {header.Authorization, "Bearer a"}, {"X-Other", "my-secret"}} {
		_, err := ask(t.Context(), t, http.MethodGet, f.url+"/x", nil, headers...)
		assert.NilError(t, err)
	}
	runs := waitRuns(t, f, runrec.Served, runrec.Served, runrec.Served)
	assert.Assert(t, !runs[0].SawKey)
	assert.Assert(t, runs[1].SawKey)
	assert.Assert(t, runs[2].SawKey)
}

// A target serves as the node of another one here: it records what it's told.
func TestCallsAndNoticesGoThroughTheNode(t *testing.T) {
	node := serve(t, "", traits.New(8))
	first := traits.New(2)
	first.Calls = map[string][]string{"/book": {"/stock", "POST /pay"}}
	first.Parallel = []string{"/book"}
	f := serve(t, strings.TrimPrefix(node.url, "http://"), first)
	answer, err := ask(t.Context(), t, http.MethodGet, f.url+"/book", nil,
		header.Call, "token", header.Marker, "m", header.Timeout, "5000")
	assert.NilError(t, err)
	assert.Equal(t, answer.status, http.StatusOK)
	_, err = ask(t.Context(), t, http.MethodPost, f.url+"/standin/drain", nil)
	assert.NilError(t, err)

	seen := map[string]runrec.Run{}
	for _, r := range node.runs.Runs() {
		seen[r.Path] = r
	}
	assert.Equal(t, seen["/stock"].Marker, "m.0")
	assert.Equal(t, seen["/pay"].IdempotencyKey, "m.1")
	assert.Assert(t, seen["/pay"].TimeoutMillis > 0)
	assert.Equal(t, seen["/loom/leave"].Method, http.MethodPost)
	assert.Equal(t, seen["/loom/announce"].Method, http.MethodPost)
}

func TestTraitsChangeWhileServing(t *testing.T) {
	f := serve(t, "", traits.New(2))
	put := func(body string) int {
		answer, err := ask(t.Context(), t, http.MethodPut, f.url+"/standin/traits", strings.NewReader(body))
		assert.NilError(t, err)
		return answer.status
	}
	assert.Equal(t, put(`{"Slots":0}`), http.StatusBadRequest)
	assert.Equal(t, put(`{"Unknown":1}`), http.StatusBadRequest)
	assert.Equal(t, put(`{"Slots":7,"Report":"Lying"}`), http.StatusNoContent)
	answer, err := ask(t.Context(), t, http.MethodGet, f.url+"/loom/load", nil)
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(string(answer.body)), `{"Running":0,"Slots":7}`)
}
