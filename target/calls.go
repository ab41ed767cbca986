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

// call is one child call that a run makes to another service.
type call struct {
	method string
	path   string
	marker string
	// token is the call token of the request, with which the node recognises
	// its child calls.
	token string
	// idempotencyKey is empty if the call has none.
	idempotencyKey string
}

// callAll makes the child calls of the request's path and reports whether each
// got its whole response.
func (t *Target) callAll(ctx context.Context, r *http.Request, behaviour traits.Traits, marker string) bool {
	calls := childCalls(r, behaviour, marker)
	if behaviour.CallsInParallel(r.URL.Path) {
		return t.callInParallel(ctx, calls, behaviour.CallRetries)
	}
	for _, c := range calls {
		if !t.callWithRetries(ctx, c, behaviour.CallRetries) {
			return false
		}
	}
	return true
}

func (t *Target) callInParallel(ctx context.Context, calls []call, retries int) bool {
	var failed atomic.Bool
	var wait sync.WaitGroup
	for _, c := range calls {
		wait.Go(func() {
			if !t.callWithRetries(ctx, c, retries) {
				failed.Store(true)
			}
		})
	}
	wait.Wait()
	return !failed.Load()
}

// childCalls lists the child calls of a request. Each has a marker of its own,
// made of the request's marker and the index of the call. A call with a method,
// as in "POST /pay", gets its marker as idempotency key.
func childCalls(r *http.Request, behaviour traits.Traits, marker string) []call {
	names := behaviour.Calls[r.URL.Path]
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
			c.idempotencyKey = c.marker
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
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+t.nodeAddress+c.path, http.NoBody)
	if err != nil {
		return false
	}
	setCallHeaders(ctx, request.Header, c)
	response, err := t.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false
	}
	size, err := strconv.ParseInt(response.Header.Get(header.Size), 10, 64)
	if err != nil {
		return false
	}
	_, matches, err := fill.Verify(response.Body, c.marker, size)
	return matches && err == nil
}

func setCallHeaders(ctx context.Context, h http.Header, c call) {
	h.Set(header.Marker, c.marker)
	if c.token != "" {
		h.Set(header.Call, c.token)
	}
	if c.idempotencyKey != "" {
		h.Set(header.IdempotencyKey, c.idempotencyKey)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remainingMillis := max(time.Until(deadline).Milliseconds(), 1)
		h.Set(header.Timeout, strconv.FormatInt(remainingMillis, 10))
	}
}
