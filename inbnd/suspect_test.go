package inbnd_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/body"
	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
	"bergamotloom.example/inbnd"
	"bergamotloom.example/output"
	"bergamotloom.example/reason"
	"bergamotloom.example/trip"
)

// fingerprint is that of the requests that doSuspect sends.
const fingerprint = "f"

func newSuspects() *crash.Suspects {
	return crash.New(clock.New(), "self", slog.New(slog.DiscardHandler), func(string, int64, []byte, int64) {}, func(string, []byte) {})
}

// doSuspect sends a request with the fingerprint and reads its response.
func doSuspect(t *testing.T, g *inbnd.Gate) output.Output {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
	assert.NilError(t, err)
	r.RequestURI = "/"
	h := http.Header{"Request-Id": {"a"}}
	o := g.Do(t.Context(), r, h, body.Body{}, trip.Trip{Service: "stock", LeftMillis: 1000, ObjectiveMillis: 1000, Idempotent: true, Fingerprint: fingerprint})
	if o.Rest != nil {
		_, _ = io.Copy(io.Discard, o.Rest)
	}
	if o.Close != nil {
		o.Close()
	}
	return o
}

// A response that reports a failed run, or that breaks off, doesn't prove that the
// request crashes no target.
func TestFailedRunTakesACrashBack(t *testing.T) {
	const bufferedBytes = 64 << 10
	for name, c := range map[string]struct {
		response string
		harmless bool
	}{
		"success":    {signed("a", "x"), true},
		"not found":  {"HTTP/1.1 404 Not Found\r\nRequest-Id: a\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n", true},
		"failed run": {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: a\r\nServer-Signature: s\r\nContent-Length: 0\r\n\r\n", false},
		"breaks off": {fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n%s", 3*bufferedBytes, strings.Repeat("x", 2*bufferedBytes)), false},
		"refusal":    {"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", false},
	} {
		suspects := newSuspects()
		suspects.ReportTargetCrash("x/1", []string{fingerprint})
		g := newGateWith(t, suspects, io.Discard, func(to net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(to, c.response)
			}
		})
		doSuspect(t, g)
		assert.Equal(t, len(suspects.Crashes(fingerprint)) == 0, c.harmless, name)
	}
}

// A request that waits at a gate, or that comes from a node that doesn't know the
// crashes, is refused there.
func TestRequestThatWaitsAtTheGateCrashesItsTarget(t *testing.T) {
	const others = 16
	suspects := newSuspects()
	release := make(chan struct{})
	paths := make(chan string, 2*others)
	g := newGateWith(t, suspects, io.Discard, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			paths <- request.Header.Get("Request-Id")
			<-release
			_, _ = io.WriteString(c, signed(request.Header.Get("Request-Id"), "x"))
		}
	})
	waitFor := func(waiting int) {
		t.Helper()
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, count := g.Load(); count >= waiting {
				return
			}
		}
		t.Fatalf("%d requests don't wait", waiting)
	}
	var group sync.WaitGroup
	for i := range others {
		group.Go(func() { do(t, g, fmt.Sprint("other", i), 2000) })
	}
	waitFor(1)
	time.Sleep(20 * time.Millisecond)
	_, before := g.Load()
	suspect := make(chan output.Output, 1)
	go func() { suspect <- doSuspect(t, g) }()
	waitFor(before + 1)
	suspects.ReportTargetCrash("x/1", []string{fingerprint})
	suspects.ReportTargetCrash("y/1", []string{fingerprint})
	close(release)
	assert.Equal(t, (<-suspect).Reason, reason.CrashSuspect)
	group.Wait()
	close(paths)
	for id := range paths {
		assert.Assert(t, id != "a", "the request reached the target")
	}
}
