// Package claims makes requests with an idempotency key run at most once. A
// claim is a row in the platform's table. It's inserted before the request is
// sent, on condition that it doesn't exist yet. A resend finds the row, with
// either the stored outcome or the information that the outcome isn't known.
//
// A claim is never taken over by another node. If a node dies or is paused
// between the claim and the outcome, the row stays in the state Running, and a
// resend is refused with the information that the request may have run.
//
// Claims made at about the same time are written in one transaction. If it
// isn't applied because one of the rows already exists, each claim is tried
// separately.
package claims

import (
	"context"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/claim"
	"bergamotloom.example/clock"
	"bergamotloom.example/ident"
	"bergamotloom.example/pause"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/ring"
	"bergamotloom.example/runst"
	"bergamotloom.example/settle"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

const (
	// maxBatchSize is how many claims or outcomes go into one transaction.
	maxBatchSize = 16
	// batchWaitMillis is how long a claim waits for others to share its
	// transaction.
	batchWaitMillis = 2
	// queueCapacity is the capacity of the queue of claims and of the queue of
	// outcomes. A claim beyond it is refused, an outcome beyond it is dropped.
	queueCapacity = 4096
	// settleTimeoutMillis bounds a claim's transaction, including the reads
	// that find out its outcome.
	settleTimeoutMillis = 1500
	// rowPollMillis is the interval between reads of a row in the state
	// Running.
	rowPollMillis = 100
	// outcomeRetryMillis is the interval between attempts to write an outcome.
	outcomeRetryMillis = 250
	// retryAfterMillis is the retry delay sent to a caller whose claim couldn't
	// be made.
	retryAfterMillis = 1000
)

// Claims makes and ends the claims of one node.
type Claims struct {
	clock clock.Clock
	table table.Table
	log   *slog.Logger

	pendingClaims   *ring.Ring[*pendingClaim]
	pendingOutcomes *ring.Ring[claim.Claim]

	transactions metrics.Counter
	unsettled    metrics.Counter
	unsure       metrics.Counter
}

// pendingClaim is a claim that waits for its transaction.
type pendingClaim struct {
	claim claim.Claim
	done  chan claimResult
}

// claimResult is the result of a transaction. resultKnown is false if the table
// didn't report one.
type claimResult struct {
	applied     bool
	resultKnown bool
}

// New returns the claims of a node, stored in the table.
func New(c clock.Clock, t table.Table, registry metrics.Registry, log *slog.Logger) *Claims {
	return &Claims{
		clock:           c,
		table:           t,
		log:             log,
		pendingClaims:   ring.New[*pendingClaim](queueCapacity),
		pendingOutcomes: ring.New[claim.Claim](queueCapacity),
		transactions:    metrics.GetOrRegisterCounter("Claims.Transactions", registry),
		unsettled:       metrics.GetOrRegisterCounter("Claims.Unsettled", registry),
		unsure:          metrics.GetOrRegisterCounter("Claims.Unsure", registry),
	}
}

// Begin claims a request. If it returns true, the claim is either Running, and
// the caller must run the request and call End, or Done, and it holds the
// outcome of the earlier run. Otherwise the refusal is StoreUnavailable, or
// RequestConflict if the key belongs to another request or the earlier outcome
// isn't known.
func (c *Claims) Begin(ctx context.Context, team, idempotencyKey, digest string) (claim.Claim, refuse.Refusal, bool) {
	own := claim.New(team, idempotencyKey, ident.New(), digest, c.clock.Now())
	for {
		result := c.submit(ctx, own)
		switch {
		case !result.resultKnown:
			c.release(own)
			return own, unavailable(), false
		case result.applied:
			return own.WithVersion(own.Version + 1), refuse.Refusal{}, true
		}
		stored, ok := c.readRow(ctx, own.Key)
		switch {
		case !ok:
			// The row exists, so an earlier send may have run.
			return own, unavailable().WithRan(runst.Maybe), false
		case stored.Digest != digest && stored.State != claim.Released:
			return own, refuse.New(reason.RequestConflict).WithDetail("The idempotency key belongs to another request."), false
		case stored.State == claim.Done:
			return stored, refuse.Refusal{}, true
		case stored.State == claim.Unsure:
			return own, c.mayHaveRun(), false
		case stored.State == claim.Released:
			own = own.WithVersion(stored.Version)
		case !pause.For(ctx, rowPollMillis*time.Millisecond):
			return own, c.mayHaveRun(), false
		}
	}
}

// mayHaveRun refuses a resend of a request whose outcome isn't known.
func (c *Claims) mayHaveRun() refuse.Refusal {
	c.unsure.Inc(1)
	return refuse.New(reason.RequestConflict).WithRan(runst.Maybe).
		WithDetail("The request was sent before, and its outcome isn't known.")
}

func unavailable() refuse.Refusal {
	return refuse.New(reason.StoreUnavailable).WithRetryAfter(retryAfterMillis)
}

// submit queues the claim for a batch and waits for the result.
func (c *Claims) submit(ctx context.Context, own claim.Claim) claimResult {
	p := &pendingClaim{claim: own, done: make(chan claimResult, 1)}
	if !c.pendingClaims.Put(p) {
		return claimResult{}
	}
	select {
	case result := <-p.done:
		return result
	case <-ctx.Done():
		return claimResult{}
	}
}

// readRow returns the row with the key. A missing row counts as released at
// version 0.
func (c *Claims) readRow(ctx context.Context, key string) (claim.Claim, bool) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeoutMillis*time.Millisecond)
	defer cancel()
	row, found, err := c.table.Get(ctx, key)
	if err != nil {
		return claim.Claim{}, false
	}
	if !found {
		return claim.Claim{Key: key, State: claim.Released}, true
	}
	stored, err := claim.Decode(row.Key, row.Value, row.Version)
	if err != nil {
		c.log.Error("claims: malformed row", "Error", err)
		return claim.Claim{}, false
	}
	return stored, true
}

// release releases a claim that may or may not have been written, so that it
// doesn't block resends: the request never ran.
func (c *Claims) release(own claim.Claim) {
	c.unsettled.Inc(1)
	c.End(own.WithState(claim.Released))
}

// End records the outcome of a claimed request. It doesn't wait: the row is
// written in the background, with retries until the table accepts it.
func (c *Claims) End(own claim.Claim) {
	if !c.pendingOutcomes.Put(own) {
		c.log.Warn("claims: the queue of outcomes is full; a resend will get the run state Maybe")
	}
}

// RunClaimWriter writes claims in batches until the context ends. Several may
// run concurrently.
func (c *Claims) RunClaimWriter(ctx context.Context) {
	for {
		first, ok := c.pendingClaims.Take(ctx)
		if !ok {
			return
		}
		if !pause.For(ctx, batchWaitMillis*time.Millisecond) {
			return
		}
		c.writeClaims(ctx, append([]*pendingClaim{first}, c.pendingClaims.TakeUpTo(maxBatchSize-1)...))
	}
}

// writeClaims writes a batch of claims in one transaction, or each separately
// if that isn't applied. Claims of the same row are written one after another,
// because within one transaction each would see the row as it was before.
func (c *Claims) writeClaims(ctx context.Context, batch []*pendingClaim) {
	firsts, repeated := splitRepeated(batch)
	c.writeBatch(ctx, firsts)
	for _, p := range repeated {
		p.done <- c.transact(ctx, []*pendingClaim{p})
	}
}

// splitRepeated separates the first claim of each row from the further ones.
func splitRepeated(batch []*pendingClaim) (first, repeated []*pendingClaim) {
	seen := make(map[string]bool, len(batch))
	for _, p := range batch {
		if seen[p.claim.Key] {
			repeated = append(repeated, p)
			continue
		}
		seen[p.claim.Key] = true
		first = append(first, p)
	}
	return first, repeated
}

func (c *Claims) writeBatch(ctx context.Context, batch []*pendingClaim) {
	result := c.transact(ctx, batch)
	if len(batch) == 1 || result.applied || !result.resultKnown {
		for _, p := range batch {
			p.done <- result
		}
		return
	}
	for _, p := range batch {
		p.done <- c.transact(ctx, []*pendingClaim{p})
	}
}

func (c *Claims) transact(ctx context.Context, batch []*pendingClaim) claimResult {
	ctx, cancel := context.WithTimeout(ctx, settleTimeoutMillis*time.Millisecond)
	defer cancel()
	writes := make([]write.Write, 0, len(batch))
	for _, p := range batch {
		writes = append(writes, write.Put(p.claim.Key, p.claim.Encode(), p.claim.Version))
	}
	c.transactions.Inc(1)
	applied, err := settle.Transact(ctx, c.table, ident.New(), writes)
	return claimResult{applied: applied, resultKnown: err == nil}
}

// RunOutcomeWriter writes outcomes in batches until the context ends.
func (c *Claims) RunOutcomeWriter(ctx context.Context) {
	for {
		first, ok := c.pendingOutcomes.Take(ctx)
		if !ok {
			return
		}
		// Nobody waits for the row, and those of requests that end soon after go
		// along with it.
		pause.For(ctx, batchWaitMillis*time.Millisecond)
		batch := append([]claim.Claim{first}, c.pendingOutcomes.TakeUpTo(maxBatchSize-1)...)
		if c.writeOutcomes(ctx, batch) {
			continue
		}
		for _, outcome := range batch {
			if !c.writeOutcomeWithRetries(ctx, outcome) {
				return
			}
		}
	}
}

// writeOutcomes writes a batch of outcomes over the claims made by this node,
// in one transaction, and reports whether it was applied. It writes nothing if
// the batch has a claim with version 0 or two outcomes of one row. If it
// reports false, the outcomes are written one by one.
func (c *Claims) writeOutcomes(ctx context.Context, batch []claim.Claim) bool {
	writes := make([]write.Write, 0, len(batch))
	seen := make(map[string]bool, len(batch))
	for _, outcome := range batch {
		if outcome.Version == 0 || seen[outcome.Key] {
			return false
		}
		seen[outcome.Key] = true
		writes = append(writes, write.Put(outcome.Key, outcome.Encode(), outcome.Version))
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeoutMillis*time.Millisecond)
	defer cancel()
	c.transactions.Inc(1)
	applied, err := c.table.Transact(ctx, ident.New(), writes)
	return err == nil && applied
}

// writeOutcomeWithRetries writes one outcome, with retries. It returns false if
// the context ended before.
func (c *Claims) writeOutcomeWithRetries(ctx context.Context, outcome claim.Claim) bool {
	for !c.writeOutcome(ctx, outcome) {
		if !pause.For(ctx, outcomeRetryMillis*time.Millisecond) {
			return false
		}
	}
	return true
}

// writeOutcome writes one outcome over the claim that it belongs to. It reports
// whether that is done: the table has responded, or the outcome is no longer
// needed. The transaction of a claim whose result isn't known may still be
// applied later; writing a released row first makes its version condition fail.
func (c *Claims) writeOutcome(ctx context.Context, outcome claim.Claim) bool {
	stored, ok := c.readRow(ctx, outcome.Key)
	if !ok {
		return false
	}
	ownClaim := stored.Attempt == outcome.Attempt && stored.State == claim.Running
	blocksLateClaim := stored.State == claim.Released && outcome.State == claim.Released && stored.Version == outcome.Version
	if !ownClaim && !blocksLateClaim {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeoutMillis*time.Millisecond)
	defer cancel()
	c.transactions.Inc(1)
	_, err := c.table.Transact(ctx, ident.New(), []write.Write{write.Put(outcome.Key, outcome.Encode(), stored.Version)})
	return err == nil
}
