// Package sender sends one request of the load and checks its response.
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
	// maxConnsPerNode bounds the load on a node that responds slowly; further
	// requests wait for a connection.
	maxConnsPerNode = 1000
	maxIdleConns    = 8192
	idleConnTimeout = 90 * time.Second
	dialTimeout     = 3 * time.Second
	// responseGrace is how much longer than the timeout in the request the
	// sender waits, so that a refusal for an exceeded deadline still arrives.
	responseGrace      = 500 * time.Millisecond
	problemContentType = "application/problem+json"
	maxProblemBytes    = 1 << 16
)

// Reasons of the kind Broken.
const (
	noConnection = "NoConnection"
	noResponse   = "NoAnswer"
	bodyCut      = "BodyCut"
	timedOut     = "TimedOut"
)

// Sender sends requests over connections of its own. It may be used by many
// goroutines.
type Sender struct {
	client        *http.Client
	timeoutMillis int64
}

// New returns a sender that gives each request this timeout, in milliseconds.
func New(timeoutMillis int64) *Sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxConnsPerNode,
		MaxConnsPerHost:     maxConnsPerNode,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Sender{client: &http.Client{Transport: transport}, timeoutMillis: timeoutMillis}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.client.CloseIdleConnections()
}

// Send sends the request once to the node and returns its outcome.
func (s *Sender) Send(ctx context.Context, node string, a arrive.Arrival) answer.Outcome {
	timeout := time.Duration(s.timeoutMillis)*time.Millisecond + responseGrace
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	hash := xxhash.New()
	request, err := s.newRequest(ctx, node, a, hash)
	if err != nil {
		return outcome(a, answer.Broken, noConnection)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return outcome(a, answer.Broken, brokenReason(ctx, err, noResponse))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return classifyFailure(a, response)
	}
	expectedUpload := fmt.Sprintf("%d-%016x", a.UploadBytes, hash.Sum64())
	return s.verify(ctx, a, response, expectedUpload)
}

func outcome(a arrive.Arrival, kind string, reason string) answer.Outcome {
	return answer.Outcome{Marker: a.Marker, Team: a.Team, Route: a.Route, Kind: kind, Reason: reason}
}

// brokenReason returns the reason why there's no complete response.
func brokenReason(ctx context.Context, err error, fallback string) string {
	if ctx.Err() != nil {
		return timedOut
	}
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return noConnection
	}
	return fallback
}

func (s *Sender) newRequest(ctx context.Context, node string, a arrive.Arrival, hash io.Writer) (*http.Request, error) {
	url := "http://" + node + a.Path
	if a.AnswerBytes > 0 {
		url += querySeparator(a.Path) + "bytes=" + strconv.FormatInt(a.AnswerBytes, 10)
	}
	request, err := http.NewRequestWithContext(ctx, a.Method, url, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "sender: creating a request")
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

func querySeparator(path string) string {
	if strings.Contains(path, "?") {
		return "&"
	}
	return "?"
}

// classifyFailure returns the outcome of a response other than 200: a refusal if it
// holds a node's problem document, else a failure with its status.
func classifyFailure(a arrive.Arrival, response *http.Response) answer.Outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return outcome(a, answer.Broken, bodyCut)
	}
	failure := outcome(a, answer.Failed, "Status"+strconv.Itoa(response.StatusCode))
	failure.Ran = response.Header.Get(runst.Header)
	if !strings.HasPrefix(response.Header.Get("Content-Type"), problemContentType) {
		return failure
	}
	var problem struct{ Reason string }
	if json.Unmarshal(body, &problem) != nil || problem.Reason == "" {
		return failure
	}
	failure.Kind, failure.Reason = answer.Refused, problem.Reason
	return failure
}

// verify reads the response to its end and compares it with the expected one.
func (s *Sender) verify(ctx context.Context, a arrive.Arrival, response *http.Response, expectedUpload string) answer.Outcome {
	size, err := strconv.ParseInt(response.Header.Get(header.Size), 10, 64)
	if err != nil {
		return outcome(a, answer.Wrong, "NoSize")
	}
	_, matches, err := fill.Verify(response.Body, a.Marker, size)
	switch {
	case err != nil:
		return outcome(a, answer.Broken, brokenReason(ctx, err, bodyCut))
	case response.Header.Get(header.Marker) != a.Marker:
		return outcome(a, answer.Wrong, "OtherRequest")
	case !matches || (a.AnswerBytes > 0 && size != a.AnswerBytes):
		return outcome(a, answer.Wrong, "OtherBody")
	case response.Header.Get(header.Upload) != expectedUpload:
		return outcome(a, answer.Wrong, "OtherUpload")
	}
	return outcome(a, answer.Served, "")
}
