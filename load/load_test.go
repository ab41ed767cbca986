package load_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/figure"
	"bergamotloom.example/fill"
	"bergamotloom.example/header"
	"bergamotloom.example/load"
	"bergamotloom.example/plan"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/sender"
)

const (
	sizeBytes = 2000
	// emptyUpload is the length and the xxhash of an empty request body.
	emptyUpload = "0-ef46db3751d8e999"
)

// run sends a short load to the handler and returns its figures.
func run(t *testing.T, resends int, handler http.HandlerFunc) figure.Figures {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	p := plan.New("r", 1).
		WithNodes(strings.TrimPrefix(server.URL, "http://")).
		WithPhase(0.2, 200).
		WithTeam("Lakes", "key", 1).
		WithRoute("Book", http.MethodPost, "/book", 1).
		WithResends(resends, 1)
	assert.NilError(t, p.Check())
	s := sender.New(p.TimeoutMillis)
	defer s.Close()
	return load.New(p, clock.New(), s).Run(t.Context()).All()
}

// respond responds as a stand-in target does, with the first sentBytes bytes of the
// body for the marker, which may be that of another request.
func respond(w http.ResponseWriter, r *http.Request, marker string, sentBytes int64) {
	w.Header().Set(header.Marker, r.Header.Get(header.Marker))
	w.Header().Set(header.Size, strconv.Itoa(sizeBytes))
	w.Header().Set(header.Upload, emptyUpload)
	_, _ = io.Copy(w, io.LimitReader(fill.New(marker, sizeBytes), sentBytes))
}

func TestCompleteMatchingResponsesAreServed(t *testing.T) {
	c := run(t, 0, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(header.Authorization) == "Bearer key" && r.Header.Get(header.IdempotencyKey) != "" {
			respond(w, r, r.Header.Get(header.Marker), sizeBytes)
		}
	})
	assert.Assert(t, c.Requests > 10)
	assert.Equal(t, c.Served, c.Requests)
}

func TestShortAndMismatchedResponsesAreWrong(t *testing.T) {
	short := run(t, 3, func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, r.Header.Get(header.Marker), sizeBytes-1)
	})
	assert.Equal(t, short.Wrong, short.Requests)
	assert.Equal(t, short.Sends, short.Requests)
	mismatched := run(t, 0, func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, "other", sizeBytes)
	})
	assert.Equal(t, mismatched.Reasons["Wrong OtherBody"], mismatched.Requests)
}

func TestTruncatedResponsesAreBroken(t *testing.T) {
	c := run(t, 0, func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, r.Header.Get(header.Marker), sizeBytes/2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	assert.Equal(t, c.Reasons["Broken BodyCut"], c.Requests)
}

func TestTemporaryRefusalsAreResent(t *testing.T) {
	var received atomic.Int64
	c := run(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1)%2 == 1 {
			_ = refuse.New(reason.Overloaded).Write(w)
			return
		}
		respond(w, r, r.Header.Get(header.Marker), sizeBytes)
	})
	assert.Equal(t, c.Sends, received.Load())
	assert.Assert(t, c.Sends > c.Requests)
	unknownKey := run(t, 9, func(w http.ResponseWriter, _ *http.Request) {
		_ = refuse.New(reason.KeyUnknown).Write(w)
	})
	assert.Equal(t, unknownKey.Sends, unknownKey.Requests)
	assert.Equal(t, unknownKey.Reasons["Refused KeyUnknown Never"], unknownKey.Requests)
}
