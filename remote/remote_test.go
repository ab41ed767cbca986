package remote_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

type bench struct {
	platform *plat.Platform
	client   *remote.Client
	advance  func(float64)
	url      string
}

func newBench(t *testing.T) bench {
	t.Helper()
	c, advance := clock.NewManual(1_000_000)
	p := plat.New(c, faults.New())
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client, err := remote.New(server.URL, timeout)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return bench{platform: p, client: client, advance: advance, url: server.URL}
}

func TestTransactionsAreConditionalAndKnownByToken(t *testing.T) {
	ctx, b := t.Context(), newBench(t)
	tab := b.client.Table()
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

func TestFaults(t *testing.T) {
	ctx, b := t.Context(), newBench(t)
	tab := b.client.Table()
	get := func(ctx context.Context) error {
		_, _, err := tab.Get(ctx, "a")
		return err
	}
	ok := faults.New()
	b.platform.SetFaults(ok.WithOutage(true))
	assert.ErrorContains(t, get(ctx), "status 503")
	b.platform.SetFaults(ok.WithSilence(true))
	assert.ErrorContains(t, get(ctx), "deadline exceeded")
	b.platform.SetFaults(ok.WithSlowMillis(2 * timeout.Milliseconds()))
	assert.ErrorContains(t, get(ctx), "deadline exceeded")
	b.platform.SetFaults(ok.WithLimits(1, 1))
	assert.NilError(t, get(ctx))
	assert.ErrorContains(t, get(ctx), "status 429")
	b.advance(1000)
	assert.NilError(t, get(ctx))

	b.platform.SetFaults(ok.WithLostAnswers(1))
	put := []write.Write{write.Put("a", []byte("1"), 0)}
	_, err := tab.Transact(ctx, "t", put)
	assert.ErrorContains(t, err, "EOF")
	applied, err := tab.Transact(ctx, "t", put)
	assert.NilError(t, err)
	assert.Assert(t, applied)
	assert.Equal(t, b.platform.Counts().RowsWritten, int64(1))

	b.platform.SetFaults(ok.WithOlderReads(500))
	_, found, err := tab.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Assert(t, !found)
	b.advance(500)
	_, found, err = tab.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Assert(t, found)
}

func TestObjectsKeepTheirBytes(t *testing.T) {
	ctx, b := t.Context(), newBench(t)
	store := b.client.Objects()
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

func TestSwitchesOverHTTP(t *testing.T) {
	b := newBench(t)
	post := func(body string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.url+"/switches", strings.NewReader(body))
		assert.NilError(t, err)
		answer, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		return answer.StatusCode
	}
	assert.Equal(t, post(`{"SlowMillis":5}`), 200)
	assert.DeepEqual(t, b.platform.Faults(), faults.New().WithSlowMillis(5))
	assert.Equal(t, post(`{"Slowness":5}`), 400)
}

func TestNewRefusesBadAddresses(t *testing.T) {
	for _, a := range []string{"", "ftp://x", "http://"} {
		_, err := remote.New(a, timeout)
		assert.ErrorContains(t, err, "isn't a URL", a)
	}
}
