package claims_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"bergamotloom.example/claim"
	"bergamotloom.example/claims"
	"bergamotloom.example/clock"
	"bergamotloom.example/faults"
	"bergamotloom.example/plat"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
	"bergamotloom.example/table"
)

// newClaims returns the claims of one node on the table, with the writers
// running.
func newClaims(t *testing.T, rows table.Table) *claims.Claims {
	t.Helper()
	c := claims.New(clock.New(), rows, metrics.NewRegistry(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var writers sync.WaitGroup
	writers.Go(func() { c.RunClaimWriter(ctx) })
	writers.Go(func() { c.RunOutcomeWriter(ctx) })
	t.Cleanup(func() {
		cancel()
		writers.Wait()
	})
	return c
}

func newPlatform() *plat.Platform {
	return plat.New(clock.New(), faults.New())
}

func contextWithin(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// One node gets the same request many times at once, so that the claims end up
// in one batch.
func TestOnlyOneOfConcurrentClaimsIsGranted(t *testing.T) {
	c := newClaims(t, newPlatform().Table())
	ctx := contextWithin(t, 300*time.Millisecond)
	var granted atomic.Int64
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			if claimed, _, ok := c.Begin(ctx, "team", "key", "digest"); ok && claimed.State == claim.Running {
				granted.Add(1)
			}
		})
	}
	callers.Wait()
	assert.Equal(t, granted.Load(), int64(1))
}

func TestResendGetsTheOutcomeAtAnyNode(t *testing.T) {
	p := newPlatform()
	a, b := newClaims(t, p.Table()), newClaims(t, p.Table())
	ctx := contextWithin(t, 5*time.Second)
	claimed, _, ok := a.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	a.End(claimed.WithOutcome(201, nil, []byte("done")))
	resent, _, ok := b.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	assert.Equal(t, resent.State, claim.Done)
	assert.Equal(t, string(resent.Body), "done")
	_, conflict, ok := b.Begin(ctx, "team", "key", "another body")
	assert.Assert(t, !ok)
	assert.Equal(t, conflict.Reason, reason.RequestConflict)
	_, _, ok = b.Begin(ctx, "another team", "key", "digest")
	assert.Assert(t, ok)
}

func TestReleasedClaimCanBeMadeAgainAndUnsureCannot(t *testing.T) {
	c := newClaims(t, newPlatform().Table())
	ctx := contextWithin(t, 5*time.Second)
	claimed, _, ok := c.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	c.End(claimed.WithState(claim.Released))
	claimed, _, ok = c.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	c.End(claimed.WithState(claim.Unsure))
	_, refusal, ok := c.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, !ok)
	assert.Equal(t, refusal.Ran, runst.Maybe)
}

// During an outage no claim can be made, and afterwards the same request can be
// claimed: a claim whose result wasn't known is released.
func TestOutageRefusesClaimsAndReleasesThem(t *testing.T) {
	p := newPlatform()
	c := newClaims(t, p.Table())
	p.SetFaults(p.Faults().WithOutage(true))
	_, refusal, ok := c.Begin(contextWithin(t, 200*time.Millisecond), "team", "key", "digest")
	assert.Assert(t, !ok)
	assert.Equal(t, refusal.Reason, reason.StoreUnavailable)
	assert.Equal(t, refusal.Ran, runst.Never)
	p.SetFaults(faults.New())
	_, _, ok = c.Begin(contextWithin(t, 5*time.Second), "team", "key", "digest")
	assert.Assert(t, ok)
}

func TestLostResponsesAreSettled(t *testing.T) {
	p := newPlatform()
	c := newClaims(t, p.Table())
	f := p.Faults()
	f.LoseAnswers = 2
	p.SetFaults(f)
	claimed, _, ok := c.Begin(contextWithin(t, 5*time.Second), "team", "key", "digest")
	assert.Assert(t, ok)
	assert.Equal(t, claimed.State, claim.Running)
}

func TestClaimsAndOutcomesGoInBatches(t *testing.T) {
	p := newPlatform()
	c := newClaims(t, p.Table())
	ctx := contextWithin(t, 5*time.Second)
	var callers sync.WaitGroup
	for i := range 64 {
		callers.Go(func() {
			claimed, _, ok := c.Begin(ctx, "team", strconv.Itoa(i), "digest")
			assert.Check(t, ok)
			c.End(claimed.WithOutcome(201, nil, nil))
		})
	}
	callers.Wait()
	for i := range 64 {
		resent, _, ok := c.Begin(ctx, "team", strconv.Itoa(i), "digest")
		assert.Check(t, ok)
		assert.Equal(t, resent.State, claim.Done)
	}
	// 64 claims and 64 outcomes make 128 rows, and the 64 claims of the resends
	// aren't applied. The claims and outcomes need far fewer transactions than
	// rows.
	assert.Equal(t, p.Counts().RowsWritten, int64(128))
	assert.Assert(t, p.Counts().Writes < 64+64, "%d transactions", p.Counts().Writes)
}
