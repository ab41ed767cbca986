package forwrd_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/forwrd"
	"bergamotloom.example/relay"
	"bergamotloom.example/reply"
	"bergamotloom.example/runst"
	"bergamotloom.example/secret"
)

// serve starts a peer that runs the handler, and returns a relay before it.
func serve(t *testing.T, s *secret.Secret, h http.HandlerFunc) *relay.Relay {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: h, TLSConfig: s.ServerTLS("h2"), ReadHeaderTimeout: time.Second}
	go func() { _ = server.ServeTLS(l, "", "") }()
	t.Cleanup(func() { _ = server.Close() })
	r, err := relay.New("127.0.0.1:0", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func newForwarder(t *testing.T) (*forwrd.Forwarder, *secret.Secret) {
	t.Helper()
	s, err := secret.New([]byte(strings.Repeat("a", secret.MinBytes)))
	assert.NilError(t, err)
	p := forwrd.New(clock.New(), s)
	t.Cleanup(p.Close)
	return p, s
}

func forward(ctx context.Context, t *testing.T, p *forwrd.Forwarder, r *relay.Relay) reply.Reply {
	t.Helper()
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://peer/", http.NoBody)
	assert.NilError(t, err)
	got := p.Forward(ctx, r.Address(), envel.Envelope{Idempotent: true}, out, func() {})
	if got.Body != nil {
		assert.NilError(t, got.Body.Close())
	}
	return got
}

// A request that begins on a connection which the transport's pings are about
// to find silent isn't taken for one that lost its instance.
func TestConnectionThatPingsFindSilentCountsAsSilent(t *testing.T) {
	p, s := newForwarder(t)
	r := serve(t, s, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	assert.Assert(t, forward(t.Context(), t, p, r).Served())
	r.Do(relay.Silence)
	// The pings give up after 1,000 ms.
	time.Sleep(800 * time.Millisecond)
	began := time.Now()
	got := forward(t.Context(), t, p, r)
	assert.Assert(t, time.Since(began) < forwrd.SilenceMillis*time.Millisecond, "the pings were late")
	assert.Assert(t, !got.Served())
	assert.Assert(t, got.Silent)
	assert.Assert(t, !got.Broke)
	assert.Equal(t, got.Refusal.Ran, runst.Maybe)
}

// A peer that ends the connection, or the request alone, has lost it.
func TestPeerThatEndsARequestIsNotSilent(t *testing.T) {
	p, s := newForwarder(t)
	var r *relay.Relay
	r = serve(t, s, func(_ http.ResponseWriter, q *http.Request) {
		if q.Header.Get("How") == "reset" {
			panic(http.ErrAbortHandler)
		}
		r.Do(relay.Reset)
		<-q.Context().Done()
	})
	for _, how := range []string{"reset", "cut"} {
		out, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://peer/", http.NoBody)
		assert.NilError(t, err)
		out.Header.Set("How", how)
		got := p.Forward(t.Context(), r.Address(), envel.Envelope{Idempotent: true}, out, func() {})
		assert.Assert(t, !got.Served())
		assert.Assert(t, !got.Silent, how)
		assert.Assert(t, got.Broke, how)
	}
}

// A peer that says nothing is doubted while the request waits, one whose
// heartbeats come isn't.
func TestQuietPeerIsDoubtedBeforeItIsGivenUp(t *testing.T) {
	const waits = 2 * forwrd.MissedHeartbeatMillis * time.Millisecond
	for _, beats := range []bool{true, false} {
		p, s := newForwarder(t)
		r := serve(t, s, func(w http.ResponseWriter, _ *http.Request) {
			for range waits / (forwrd.HeartbeatMillis * time.Millisecond) {
				if beats {
					w.WriteHeader(http.StatusProcessing)
				}
				time.Sleep(forwrd.HeartbeatMillis * time.Millisecond)
			}
		})
		var doubts atomic.Int64
		out, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://peer/", http.NoBody)
		assert.NilError(t, err)
		began := time.Now()
		got := p.Forward(t.Context(), r.Address(), envel.Envelope{Idempotent: true}, out, func() { doubts.Add(1) })
		if got.Body != nil {
			assert.NilError(t, got.Body.Close())
		}
		assert.Equal(t, got.Served(), beats)
		assert.Equal(t, doubts.Load() == 0, beats, "%d doubts in %s", doubts.Load(), time.Since(began))
	}
}
