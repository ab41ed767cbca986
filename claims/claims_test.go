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

// node returns the claims of one node on the table, with their duties running.
func node(t *testing.T, on table.Table) *claims.Claims {
	t.Helper()
	c := claims.New(clock.New(), on, metrics.NewRegistry(), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	var duties sync.WaitGroup
	duties.Go(func() { c.RunClaimWriter(ctx) })
	duties.Go(func() { c.RunOutcomeWriter(ctx) })
	t.Cleanup(func() {
		cancel()
		duties.Wait()
	})
	return c
}

func newPlatform() *plat.Platform {
	return plat.New(clock.New(), faults.New())
}

func within(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// One node gets the same request many times at one moment, so that the claims
// stand in one batch.
func TestOneOfManyClaimsAtOneMomentIsGranted(t *testing.T) {
	c := node(t, newPlatform().Table())
	ctx := within(t, 300*time.Millisecond)
	var granted atomic.Int64
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			if made, _, ok := c.Begin(ctx, "team", "key", "digest"); ok && made.State == claim.Running {
				granted.Add(1)
			}
		})
	}
	callers.Wait()
	assert.Equal(t, granted.Load(), int64(1))
}

func TestResendGetsTheOutcomeAtAnyNode(t *testing.T) {
	p := newPlatform()
	a, b := node(t, p.Table()), node(t, p.Table())
	ctx := within(t, 5*time.Second)
	made, _, ok := a.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	a.End(made.WithOutcome(201, nil, []byte("done")))
	again, _, ok := b.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	assert.Equal(t, again.State, claim.Done)
	assert.Equal(t, string(again.Body), "done")
	_, other, ok := b.Begin(ctx, "team", "key", "another body")
	assert.Assert(t, !ok)
	assert.Equal(t, other.Reason, reason.RequestConflict)
	_, _, ok = b.Begin(ctx, "another team", "key", "digest")
	assert.Assert(t, ok)
}

func TestReleasedClaimCanBeMadeAgainAndUnsureCannot(t *testing.T) {
	c := node(t, newPlatform().Table())
	ctx := within(t, 5*time.Second)
	made, _, ok := c.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	c.End(made.WithState(claim.Released))
	made, _, ok = c.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, ok)
	c.End(made.WithState(claim.Unsure))
	_, refusal, ok := c.Begin(ctx, "team", "key", "digest")
	assert.Assert(t, !ok)
	assert.Equal(t, refusal.Ran, runst.Maybe)
}

// During an outage nothing is claimed, and afterwards the same request can be:
// a claim that was given up doesn't stay behind.
func TestOutageRefusesAndLeavesNothingBehind(t *testing.T) {
	p := newPlatform()
	c := node(t, p.Table())
	p.Switch(p.Faults().WithOutage(true))
	_, refusal, ok := c.Begin(within(t, 200*time.Millisecond), "team", "key", "digest")
	assert.Assert(t, !ok)
	assert.Equal(t, refusal.Reason, reason.StoreUnavailable)
	assert.Equal(t, refusal.Ran, runst.Never)
	p.Switch(faults.New())
	_, _, ok = c.Begin(within(t, 5*time.Second), "team", "key", "digest")
	assert.Assert(t, ok)
}

func TestLostAnswersAreSettled(t *testing.T) {
	p := newPlatform()
	c := node(t, p.Table())
	f := p.Faults()
	f.LoseAnswers = 2
	p.Switch(f)
	made, _, ok := c.Begin(within(t, 5*time.Second), "team", "key", "digest")
	assert.Assert(t, ok)
	assert.Equal(t, made.State, claim.Running)
}

// Many requests at one moment cost the table few writes.
func TestClaimsAndOutcomesGoInBatches(t *testing.T) {
	p := newPlatform()
	c := node(t, p.Table())
	ctx := within(t, 5*time.Second)
	var callers sync.WaitGroup
	for i := range 64 {
		callers.Go(func() {
			made, _, ok := c.Begin(ctx, "team", strconv.Itoa(i), "digest")
			assert.Check(t, ok)
			c.End(made.WithOutcome(201, nil, nil))
		})
	}
	callers.Wait()
	for i := range 64 {
		again, _, ok := c.Begin(ctx, "team", strconv.Itoa(i), "digest")
		assert.Check(t, ok)
		assert.Equal(t, again.State, claim.Done)
	}
	// 64 claims and 64 outcomes, and the 64 claims of the resends, which are
	// not applied: 64 rows each, but far fewer transactions of the first two.
	assert.Equal(t, p.Counts().RowsWritten, int64(128))
	assert.Assert(t, p.Counts().Writes < 64+64, "%d transactions", p.Counts().Writes)
}
