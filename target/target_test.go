package target_test

import (
	"bufio"
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
	"bergamotloom.example/reason"
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
func serve(t *testing.T, node string, initial traits.Traits) *fixture {
	t.Helper()
	f := &fixture{runs: runlog.New(nil)}
	exit := func(int) { f.exits.Add(1) }
	served := target.New("stock", node, "", initial, 1, clock.New(), f.runs, slog.New(slog.DiscardHandler), exit)
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // test
	assert.NilError(t, err)
	f.url = "http://" + listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- served.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	return f
}

type response struct {
	status int
	header http.Header
	body   []byte
}

// sendRequest sends a request with headers given as name, value, name, value.
func sendRequest(ctx context.Context, t *testing.T, method, url string, body io.Reader, headers ...string) (response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	httpResponse, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	content, err := io.ReadAll(httpResponse.Body)
	return response{httpResponse.StatusCode, httpResponse.Header, content}, err
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

func TestResponseAndUploadChecksumsMatchTheRequest(t *testing.T) {
	f := serve(t, "", traits.New(2))
	upload := bytes.Repeat([]byte("x"), 1<<20)
	for _, size := range []int64{0, 100, 3 << 20} {
		url := fmt.Sprintf("%s/any?bytes=%d", f.url, size)
		got, err := sendRequest(t.Context(), t, http.MethodPost, url, bytes.NewReader(upload), header.Marker, "m")
		assert.NilError(t, err)
		n, matches, err := fill.Verify(bytes.NewReader(got.body), "m", size)
		assert.NilError(t, err)
		assert.Assert(t, matches && n == size)
		assert.Equal(t, got.header.Get(header.Upload), fmt.Sprintf("%d-%016x", len(upload), xxhash.Sum64(upload)))
	}
	waitRuns(t, f, runrec.Served, runrec.Served, runrec.Served)
}

func TestRequestsAboveSlotsAndBacklogNeverRun(t *testing.T) {
	initial := traits.New(1)
	initial.WorkMillis = 300
	f := serve(t, "", initial)
	results := make(chan response, 3)
	for range 3 {
		go func() {
			got, err := sendRequest(t.Context(), t, http.MethodGet, f.url+"/x", nil)
			assert.Check(t, err)
			results <- got
		}()
	}
	refused := <-results
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.header.Get(runst.Header), string(runst.Never))
	<-results
	<-results
	waitRuns(t, f, runrec.Served, runrec.Served)
}

func TestRunEndsWhenCallerDisconnectsOrDeadlinePasses(t *testing.T) {
	initial := traits.New(4)
	initial.WorkMillis = 10_000
	f := serve(t, "", initial)
	got, err := sendRequest(t.Context(), t, http.MethodGet, f.url+"/x", nil, header.Timeout, "20")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = sendRequest(ctx, t, http.MethodGet, f.url+"/x", nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	waitRuns(t, f, runrec.TimedOut, runrec.Cancelled)
}

func TestCrashRequestExitsTheProcess(t *testing.T) {
	initial := traits.New(1)
	initial.CrashMark = "crash"
	f := serve(t, "", initial)
	_, err := sendRequest(t.Context(), t, http.MethodGet, f.url+"/x?crash", nil)
	assert.NilError(t, err)
	waitRuns(t, f, runrec.Crashed)
	assert.Equal(t, f.exits.Load(), int64(1))
}

func TestRecordShowsLeakedKeys(t *testing.T) {
	initial := traits.New(1)
	initial.KeyMark = "secret"
	f := serve(t, "", initial)
	for _, headers := range [][]string{{}, {header.Authorization, "Bearer a"}, {"X-Other", "my-secret"}} {
		_, err := sendRequest(t.Context(), t, http.MethodGet, f.url+"/x", nil, headers...)
		assert.NilError(t, err)
	}
	runs := waitRuns(t, f, runrec.Served, runrec.Served, runrec.Served)
	assert.Assert(t, !runs[0].SawKey)
	assert.Assert(t, runs[1].SawKey)
	assert.Assert(t, runs[2].SawKey)
}

// One target stands in for the node of the other one and records the requests
// that it gets.
func TestCallsAndAnnouncementsGoThroughTheNode(t *testing.T) {
	node := serve(t, "", traits.New(8))
	initial := traits.New(2)
	initial.Calls = map[string][]string{"/book": {"/stock", "POST /pay"}}
	initial.Parallel = []string{"/book"}
	f := serve(t, strings.TrimPrefix(node.url, "http://"), initial)
	got, err := sendRequest(t.Context(), t, http.MethodGet, f.url+"/book", nil,
		header.Call, "token", header.Marker, "m", header.Timeout, "5000")
	assert.NilError(t, err)
	assert.Equal(t, got.status, http.StatusOK)
	_, err = sendRequest(t.Context(), t, http.MethodPost, f.url+"/standin/drain", nil)
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
		got, err := sendRequest(t.Context(), t, http.MethodPut, f.url+"/standin/traits", strings.NewReader(body))
		assert.NilError(t, err)
		return got.status
	}
	assert.Equal(t, put(`{"Slots":0}`), http.StatusBadRequest)
	assert.Equal(t, put(`{"Unknown":1}`), http.StatusBadRequest)
	assert.Equal(t, put(`{"Slots":7,"Report":"Lying"}`), http.StatusNoContent)
	got, err := sendRequest(t.Context(), t, http.MethodGet, f.url+"/loom/load", nil)
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(string(got.body)), `{"Running":0,"Slots":7}`)
}

// The response to a request that is cut short looks as if it had run to its end.
func TestCutShortRunGetsAnEmptyResponse(t *testing.T) {
	for _, c := range []struct {
		request string
		outcome string
		status  int
	}{
		{"GET /stock/1 HTTP/1.1\r\nHost: x\r\n\r\n", runrec.Cancelled, reason.Cancelled.Status()},
		{"POST /stock/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", runrec.BodyCut, http.StatusBadRequest},
	} {
		t.Run(c.outcome, func(t *testing.T) {
			f := serve(t, "", traits.Traits{Slots: 1, WorkMillis: 5000})
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(f.url, "http://"))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(4*time.Second)))
			_, err = io.WriteString(conn, c.request)
			assert.NilError(t, err)
			tcp, ok := conn.(*net.TCPConn)
			assert.Assert(t, ok)
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, tcp.CloseWrite())
			got, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer func() { _ = got.Body.Close() }()
			assert.Equal(t, got.StatusCode, c.status)
			waitRuns(t, f, c.outcome)
		})
	}
}
