package inbnd

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"bergamotloom.example/heads"
	"bergamotloom.example/notice"
)

const (
	// healthTimeoutMillis bounds the query of the target's health path. Until it's answered
	// the target gets the cold rate only after an evacuation, and no requests after a
	// restart that needs the answer.
	healthTimeoutMillis = 1000
	// healthID is the request ID of the query.
	healthID = "loom-health"
	// maxHealthIDBytes bounds how much of the ID in a response is logged.
	maxHealthIDBytes = 64
)

// AskReady asks the target that sent this heartbeat whether it's ready, at its health path.
// It returns an error if no answer names the target, or if the configuration or the path
// isn't known.
func (g *Gate) AskReady(target notice.Notice) (ready bool, err error) {
	path := g.knownHealthPath()
	if path == "" {
		return false, errors.New("no health path is known")
	}
	status, h, err := g.queryHealth(path, target)
	if err != nil {
		return false, err
	}
	if id := h.Get(g.dialect.Instance); id != target.Target {
		return false, errors.Errorf("the answer names %.*q instead of the target, status %d", maxHealthIDBytes, id, status)
	}
	if h.Get(g.dialect.NotExecuted) != "" {
		return false, errors.New("the target has no room for the question")
	}
	return status == http.StatusOK, nil
}

// KnowsHealthPath reports whether AskReady can ask the target.
func (g *Gate) KnowsHealthPath() bool {
	return g.knownHealthPath() != ""
}

// knownHealthPath returns the target's health path, or nothing if the configuration isn't
// known or names none, or if no response would name the target.
func (g *Gate) knownHealthPath() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.dialect.Instance == "" {
		return ""
	}
	return g.healthPath
}

// queryHealth returns the response of the target's health path. It returns an error if
// there's none, or if another target refuses it.
func (g *Gate) queryHealth(path string, target notice.Notice) (status int, header http.Header, err error) {
	r := &http.Request{Method: http.MethodGet, RequestURI: path, Host: target.Address}
	h := make(http.Header)
	heads.SetOrRemove(h, g.dialect.RequestID, healthID)
	heads.SetOrRemove(h, g.dialect.RemainingMillis, strconv.Itoa(healthTimeoutMillis))
	heads.SetOrRemove(h, g.dialect.ExpectedTarget, target.Target)
	// A health path may leave the ID out.
	matches := func(response *http.Response, _ bool) bool {
		id := response.Header.Get(g.dialect.RequestID)
		return id == healthID || id == ""
	}
	response, done, _, err := g.pool.Do(context.Background(), r.Method, heads.AppendHead(nil, r, h, 0), nil, matches, g.clock.Fine()+healthTimeoutMillis) //nolint:bodyclose // done closes the connection if the body wasn't read.
	if err != nil {
		return 0, nil, err
	}
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
	done(err == nil && read < maxRefusalBytes)
	if response.StatusCode == http.StatusMisdirectedRequest {
		return 0, nil, errors.New("the answer is of another target")
	}
	return response.StatusCode, response.Header, nil
}
