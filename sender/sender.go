// Package sender sends one request of the load and judges its answer.
package sender

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/answer"
	"bergamotloom.example/arrive"
	"bergamotloom.example/fill"
	"bergamotloom.example/header"
	"bergamotloom.example/runst"
)

const (
	// connsPerNode bounds what a node is loaded with when it answers slowly; more
	// requests wait for a connection.
	connsPerNode = 1000
	idleConns    = 8192
	idleTime     = 90 * time.Second
	dialTime     = 3 * time.Second
	// grace is how much longer than the time named in the request the sender
	// waits, so that a refusal for want of time still arrives.
	grace        = 500 * time.Millisecond
	problemType  = "application/problem+json"
	problemBytes = 1 << 16
)

// How an answer was cut, or why none came.
const (
	noConnection = "NoConnection"
	noAnswer     = "NoAnswer"
	bodyCut      = "BodyCut"
	timedOut     = "TimedOut"
)

// Sender sends requests over connections of its own. It may be used by many
// goroutines.
type Sender struct {
	client        *http.Client
	timeoutMillis int64
}

// New returns a sender that gives each request the time, in milliseconds.
func New(timeoutMillis int64) *Sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: connsPerNode,
		MaxConnsPerHost:     connsPerNode,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}
	return &Sender{client: &http.Client{Transport: transport}, timeoutMillis: timeoutMillis}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
}

// Send sends the request once to the node and returns what became of it.
func (s *Sender) Send(ctx context.Context, node string, a arrive.Arrival) answer.Answer {
	limit := time.Duration(s.timeoutMillis)*time.Millisecond + grace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	hash := xxhash.New()
	request, err := s.request(ctx, node, a, hash)
	if err != nil {
		return end(a, answer.Broken, noConnection)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return end(a, answer.Broken, lost(ctx, err, noAnswer))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refused(a, response)
	}
	upload := fmt.Sprintf("%d-%016x", a.UploadBytes, hash.Sum64())
	return s.judge(ctx, a, response, upload)
}

func end(a arrive.Arrival, kind string, reason string) answer.Answer {
	return answer.Answer{Marker: a.Marker, Team: a.Team, Route: a.Route, Kind: kind, Reason: reason}
}

// lost tells apart the ways in which no whole answer came.
func lost(ctx context.Context, err error, otherwise string) string {
	if ctx.Err() != nil {
		return timedOut
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return noConnection
	}
	return otherwise
}

func (s *Sender) request(ctx context.Context, node string, a arrive.Arrival, hash io.Writer) (*http.Request, error) {
	url := "http://" + node + a.Path
	if a.AnswerBytes > 0 {
		url += separator(a.Path) + "bytes=" + strconv.FormatInt(a.AnswerBytes, 10)
	}
	request, err := http.NewRequestWithContext(ctx, a.Method, url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "sender: making a request")
	}
	if a.UploadBytes > 0 {
		request.Body = io.NopCloser(io.TeeReader(fill.New(a.Marker, a.UploadBytes), hash))
		request.ContentLength = a.UploadBytes
	}
	h := request.Header
	h.Set(header.Marker, a.Marker)
	h.Set(header.Timeout, strconv.FormatInt(s.timeoutMillis, 10))
	if a.Key != "" {
		h.Set(header.Authorization, "Bearer "+a.Key)
	}
	if a.IdempotencyKey != "" {
		h.Set(header.IdempotencyKey, a.IdempotencyKey)
	}
	return request, nil
}

func separator(path string) string {
	if strings.Contains(path, "?") {
		return "&"
	}
	return "?"
}

// refused reads a problem document of a node, or another error's status.
func refused(a arrive.Arrival, response *http.Response) answer.Answer {
	body, err := io.ReadAll(io.LimitReader(response.Body, problemBytes))
	if err != nil {
		return end(a, answer.Broken, bodyCut)
	}
	failed := end(a, answer.Failed, "Status"+strconv.Itoa(response.StatusCode))
	failed.Ran = response.Header.Get(runst.Header)
	if !strings.HasPrefix(response.Header.Get("Content-Type"), problemType) {
		return failed
	}
	var problem struct{ Reason string }
	if json.Unmarshal(body, &problem) != nil || problem.Reason == "" {
		return failed
	}
	failed.Kind, failed.Reason = answer.Refused, problem.Reason
	return failed
}

// judge reads the answer to its end and compares it with what it should be.
func (s *Sender) judge(ctx context.Context, a arrive.Arrival, response *http.Response, upload string) answer.Answer {
	size, err := strconv.ParseInt(response.Header.Get(header.Size), 10, 64)
	if err != nil {
		return end(a, answer.Wrong, "NoSize")
	}
	_, own, err := fill.Verify(response.Body, a.Marker, size)
	switch {
	case err != nil:
		return end(a, answer.Broken, lost(ctx, err, bodyCut))
	case response.Header.Get(header.Marker) != a.Marker:
		return end(a, answer.Wrong, "OtherRequest")
	case !own || (a.AnswerBytes > 0 && size != a.AnswerBytes):
		return end(a, answer.Wrong, "OtherBody")
	case response.Header.Get(header.Upload) != upload:
		return end(a, answer.Wrong, "OtherUpload")
	}
	return end(a, answer.Served, "")
}
