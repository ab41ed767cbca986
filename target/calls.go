package target

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotloom.example/fill"
	"bergamotloom.example/header"
	"bergamotloom.example/traits"
)

// call is one request to another service that a run depends on.
type call struct {
	method string
	path   string
	marker string
	token  string
	key    string
}

// callAll makes the calls of the request's path and tells whether each got its
// whole answer.
func (t *Target) callAll(ctx context.Context, r *http.Request, now traits.Traits, marker string) bool {
	calls := callsOf(r, now, marker)
	if now.CallsInParallel(r.URL.Path) {
		return t.callAtOnce(ctx, calls, now.CallRetries)
	}
	for _, c := range calls {
		if !t.callWithRetries(ctx, c, now.CallRetries) {
			return false
		}
	}
	return true
}

func (t *Target) callAtOnce(ctx context.Context, calls []call, retries int) bool {
	var failed atomic.Bool
	var done sync.WaitGroup
	for _, c := range calls {
		done.Go(func() {
			if !t.callWithRetries(ctx, c, retries) {
				failed.Store(true)
			}
		})
	}
	done.Wait()
	return !failed.Load()
}

// callsOf lists the calls of a request. Each has a marker of its own, made of
// the request's marker and the call's place.
func callsOf(r *http.Request, now traits.Traits, marker string) []call {
	names := now.Calls[r.URL.Path]
	calls := make([]call, 0, len(names))
	for i, name := range names {
		c := call{
			method: http.MethodGet,
			path:   name,
			marker: marker + "." + strconv.Itoa(i),
			token:  r.Header.Get(header.Call),
		}
		if method, path, ok := strings.Cut(name, " "); ok {
			c.method, c.path = method, path
			c.key = c.marker
		}
		calls = append(calls, c)
	}
	return calls
}

func (t *Target) callWithRetries(ctx context.Context, c call, retries int) bool {
	for range retries + 1 {
		if t.callOnce(ctx, c) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// callOnce sends the call to the target's own node.
func (t *Target) callOnce(ctx context.Context, c call) bool {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+t.node+c.path, http.NoBody)
	if err != nil {
		return false
	}
	setCallHeaders(ctx, request.Header, c)
	answer, err := t.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return false
	}
	size, err := strconv.ParseInt(answer.Header.Get(header.Size), 10, 64)
	if err != nil {
		return false
	}
	_, own, err := fill.Verify(answer.Body, c.marker, size)
	return own && err == nil
}

func setCallHeaders(ctx context.Context, h http.Header, c call) {
	h.Set(header.Marker, c.marker)
	if c.token != "" {
		h.Set(header.Call, c.token)
	}
	if c.key != "" {
		h.Set(header.IdempotencyKey, c.key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		h.Set(header.Timeout, strconv.FormatInt(left, 10))
	}
}
