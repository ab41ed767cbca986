package remote_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/faults"
	"bergamotloom.example/plat"
	"bergamotloom.example/remote"
	"bergamotloom.example/write"
)

const timeout = 200 * time.Millisecond

type fixture struct {
	platform *plat.Platform
	client   *remote.Client
	advance  func(float64)
	url      string
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	c, advance := clock.NewManual(1_000_000)
	p := plat.New(c, faults.New())
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client, err := remote.New(server.URL, timeout)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return fixture{platform: p, client: client, advance: advance, url: server.URL}
}

func TestTransactionsAreConditionalAndIdempotentByToken(t *testing.T) {
	ctx, f := t.Context(), newFixture(t)
	tab := f.client.Table()
	put := []write.Write{write.Put("a", []byte("1"), 0), write.Check("b", 0)}
	for range 2 {
		applied, err := tab.Transact(ctx, "t1", put)
		assert.NilError(t, err)
		assert.Assert(t, applied)
	}
	applied, err := tab.Transact(ctx, "t2", put)
	assert.NilError(t, err)
	assert.Assert(t, !applied)
	rows, err := tab.Scan(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Version, int64(1))
	applied, err = tab.Transact(ctx, "t3", []write.Write{write.Remove("a", 1), write.Put("c", []byte{}, 0)})
	assert.NilError(t, err)
	assert.Assert(t, applied)
	_, found, err := tab.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	_, found, err = tab.Get(ctx, "c")
	assert.NilError(t, err)
	assert.Assert(t, found)
}

func TestPlatformFaults(t *testing.T) {
	ctx, f := t.Context(), newFixture(t)
	tab := f.client.Table()
	get := func(ctx context.Context) error {
		_, _, err := tab.Get(ctx, "a")
		return err
	}
	noFaults := faults.New()
	f.platform.SetFaults(noFaults.WithOutage(true))
	assert.ErrorContains(t, get(ctx), "status 503")
	f.platform.SetFaults(noFaults.WithSilence(true))
	assert.ErrorContains(t, get(ctx), "deadline exceeded")
	f.platform.SetFaults(noFaults.WithSlowMillis(2 * timeout.Milliseconds()))
	assert.ErrorContains(t, get(ctx), "deadline exceeded")
	f.platform.SetFaults(noFaults.WithLimits(1, 1))
	assert.NilError(t, get(ctx))
	assert.ErrorContains(t, get(ctx), "status 429")
	f.advance(1000)
	assert.NilError(t, get(ctx))

	f.platform.SetFaults(noFaults.WithLostAnswers(1))
	put := []write.Write{write.Put("a", []byte("1"), 0)}
	_, err := tab.Transact(ctx, "t", put)
	assert.ErrorContains(t, err, "EOF")
	applied, err := tab.Transact(ctx, "t", put)
	assert.NilError(t, err)
	assert.Assert(t, applied)
	assert.Equal(t, f.platform.Counts().RowsWritten, int64(1))

	f.platform.SetFaults(noFaults.WithOlderReads(500))
	_, found, err := tab.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	f.advance(500)
	_, found, err = tab.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Assert(t, found)
}

func TestObjectsAreStoredUnchanged(t *testing.T) {
	ctx, f := t.Context(), newFixture(t)
	store := f.client.Objects()
	value := bytes.Repeat([]byte{0, 255}, 1000)
	assert.NilError(t, store.Put(ctx, "x/1", value))
	assert.NilError(t, store.Put(ctx, "y", nil))
	got, ok, err := store.Get(ctx, "x/1")
	assert.NilError(t, err)
	assert.Assert(t, ok && bytes.Equal(got, value))
	names, err := store.List(ctx, "x/")
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"x/1"})
	_, ok, err = store.Get(ctx, "z")
	assert.NilError(t, err)
	assert.Assert(t, !ok)
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	f := newFixture(t)
	post := func(body string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/switches", strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, post(`{"SlowMillis":5}`), 200)
	assert.DeepEqual(t, f.platform.Faults(), faults.New().WithSlowMillis(5))
	assert.Equal(t, post(`{"Slowness":5}`), 400)
}

func TestNewRejectsInvalidAddresses(t *testing.T) {
	for _, a := range []string{"", "ftp://x", "http://"} {
		_, err := remote.New(a, timeout)
		assert.ErrorContains(t, err, "isn't a URL", a)
	}
}

// A response of the platform without end fills the memory.
func TestEndlessResponseFillsTheMemory(t *testing.T) {
	const maxReadBytes = 48 << 20
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		block := bytes.Repeat([]byte("x"), 1<<20)
		for r.Context().Err() == nil && sent.Load() < 4*maxReadBytes {
			n, err := w.Write(block)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	}))
	defer server.Close()
	client, err := remote.New(server.URL, 10*time.Second)
	assert.NilError(t, err)
	defer client.Close()
	_, _, err = client.Table().Get(t.Context(), "a")
	assert.ErrorContains(t, err, "more than")
	assert.Check(t, sent.Load() < maxReadBytes, "%d bytes were taken in", sent.Load())
}
