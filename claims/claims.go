// Package claims makes requests with an idempotency key run at most once. A
// claim is a row in the platform's table, written under the condition that
// there is none, before the request is sent. Whoever comes second finds the
// row: the stored outcome, or that the outcome isn't known.
//
// A claim is never taken over. A node that dies or is paused between claim and
// outcome leaves a row that says Running, and a resend is then told that the
// request may have run.
//
// Claims of the same moment are written together in one transaction. When that
// isn't applied, because one of them was there already, each is tried alone.
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
	// batchMost is how many claims or outcomes go into one transaction.
	batchMost = 16
	// batchMillis is how long a claim waits for others to go with.
	batchMillis = 2
	ringSize    = 4096
	// settleMillis bounds a claim's transaction with its read-backs.
	settleMillis = 1500
	// lookMillis is the time between two looks at a row that says Running.
	lookMillis = 100
	// againMillis is the time between two tries to write an outcome.
	againMillis = 250
	// retryAfterMillis is told to a caller whose claim couldn't be made.
	retryAfterMillis = 1000
)

// Claims makes and ends the claims of one node.
type Claims struct {
	clock clock.Clock
	table table.Table
	log   *slog.Logger

	begins *ring.Ring[*begin]
	ends   *ring.Ring[claim.Claim]

	transactions metrics.Counter
	unsettled    metrics.Counter
	unsure       metrics.Counter
}

// begin is a claim that waits for its transaction.
type begin struct {
	claim claim.Claim
	done  chan outcome
}

// outcome of a transaction: known is false when the table didn't tell.
type outcome struct {
	applied bool
	known   bool
}

// New returns the claims of a node, in the table.
func New(c clock.Clock, t table.Table, registry metrics.Registry, log *slog.Logger) *Claims {
	return &Claims{
		clock:        c,
		table:        t,
		log:          log,
		begins:       ring.New[*begin](ringSize),
		ends:         ring.New[claim.Claim](ringSize),
		transactions: metrics.GetOrRegisterCounter("Claims.Transactions", registry),
		unsettled:    metrics.GetOrRegisterCounter("Claims.Unsettled", registry),
		unsure:       metrics.GetOrRegisterCounter("Claims.Unsure", registry),
	}
}

// Begin claims a request. With true the claim is either Running, and then the
// caller must run the request and call End, or Done, and then it holds the
// outcome of the earlier run. Otherwise the refusal says what is known.
func (c *Claims) Begin(ctx context.Context, team, idempotencyKey, digest string) (claim.Claim, refuse.Refusal, bool) {
	mine := claim.New(team, idempotencyKey, ident.New(), digest, c.clock.Now())
	for {
		got := c.put(ctx, mine)
		switch {
		case !got.known:
			c.giveUp(mine)
			return mine, unavailable(), false
		case got.applied:
			return mine.WithVersion(mine.Version + 1), refuse.Refusal{}, true
		}
		there, ok := c.read(ctx, mine.Key)
		switch {
		case !ok:
			// There is a row, so an earlier sending may have run.
			return mine, unavailable().WithRan(runst.Maybe), false
		case there.Digest != digest && there.State != claim.Released:
			return mine, refuse.New(reason.RequestConflict).WithDetail("The idempotency key belongs to another request."), false
		case there.State == claim.Done:
			return there, refuse.Refusal{}, true
		case there.State == claim.Unsure:
			return mine, c.maybe(), false
		case there.State == claim.Released:
			mine = mine.WithVersion(there.Version)
		case !pause.For(ctx, lookMillis*time.Millisecond):
			return mine, c.maybe(), false
		}
	}
}

// maybe refuses a resend of a request whose outcome isn't known.
func (c *Claims) maybe() refuse.Refusal {
	c.unsure.Inc(1)
	return refuse.New(reason.RequestConflict).WithRan(runst.Maybe).
		WithDetail("The request was sent before, and its outcome isn't known.")
}

func unavailable() refuse.Refusal {
	return refuse.New(reason.StoreUnavailable).WithRetryAfter(retryAfterMillis)
}

// put hands the claim to the batcher and waits for the outcome.
func (c *Claims) put(ctx context.Context, mine claim.Claim) outcome {
	b := &begin{claim: mine, done: make(chan outcome, 1)}
	if !c.begins.Put(b) {
		return outcome{}
	}
	select {
	case o := <-b.done:
		return o
	case <-ctx.Done():
		return outcome{}
	}
}

// read returns the row with the key. A row that isn't there counts as released
// at version 0.
func (c *Claims) read(ctx context.Context, key string) (claim.Claim, bool) {
	ctx, cancel := context.WithTimeout(ctx, settleMillis*time.Millisecond)
	defer cancel()
	row, found, err := c.table.Get(ctx, key)
	if err != nil {
		return claim.Claim{}, false
	}
	if !found {
		return claim.Claim{Key: key, State: claim.Released}, true
	}
	there, err := claim.Decode(row.Key, row.Value, row.Version)
	if err != nil {
		c.log.Error("claims: a row can't be read", "Error", err)
		return claim.Claim{}, false
	}
	return there, true
}

// giveUp sees to it that a claim whose fate isn't known doesn't stay behind:
// the request never ran, so a resend may.
func (c *Claims) giveUp(mine claim.Claim) {
	c.unsettled.Inc(1)
	c.End(mine.WithState(claim.Released))
}

// End records what came of a claimed request. It doesn't wait: the row is
// written in the background, again and again until the table takes it.
func (c *Claims) End(mine claim.Claim) {
	if !c.ends.Put(mine) {
		c.log.Warn("claims: too many outcomes wait for the table; a resend will be told Maybe")
	}
}

// RunClaimWriter writes claims, in batches, until the context ends. Several may run
// at a time.
func (c *Claims) RunClaimWriter(ctx context.Context) {
	for {
		first, ok := c.begins.Take(ctx)
		if !ok {
			return
		}
		if !pause.For(ctx, batchMillis*time.Millisecond) {
			return
		}
		c.writeBegins(ctx, append([]*begin{first}, c.begins.Drain(batchMost-1)...))
	}
}

// writeBegins claims a batch: all in one transaction, or else each alone. The
// claims of one row at the same moment go one after another, because within a
// transaction each would find the row as it was before.
func (c *Claims) writeBegins(ctx context.Context, batch []*begin) {
	together, repeated := split(batch)
	c.writeTogether(ctx, together)
	for _, b := range repeated {
		b.done <- c.transact(ctx, []*begin{b})
	}
}

// split takes the first claim of each row out of a batch.
func split(batch []*begin) (first, repeated []*begin) {
	seen := make(map[string]bool, len(batch))
	for _, b := range batch {
		if seen[b.claim.Key] {
			repeated = append(repeated, b)
			continue
		}
		seen[b.claim.Key] = true
		first = append(first, b)
	}
	return first, repeated
}

func (c *Claims) writeTogether(ctx context.Context, batch []*begin) {
	together := c.transact(ctx, batch)
	if len(batch) == 1 || together.applied || !together.known {
		for _, b := range batch {
			b.done <- together
		}
		return
	}
	for _, b := range batch {
		b.done <- c.transact(ctx, []*begin{b})
	}
}

func (c *Claims) transact(ctx context.Context, batch []*begin) outcome {
	ctx, cancel := context.WithTimeout(ctx, settleMillis*time.Millisecond)
	defer cancel()
	writes := make([]write.Write, 0, len(batch))
	for _, b := range batch {
		writes = append(writes, write.Put(b.claim.Key, b.claim.Encode(), b.claim.Version))
	}
	c.transactions.Inc(1)
	applied, err := settle.Transact(ctx, c.table, ident.New(), writes)
	return outcome{applied: applied, known: err == nil}
}

// RunOutcomeWriter writes outcomes, in batches, until the context ends.
func (c *Claims) RunOutcomeWriter(ctx context.Context) {
	for {
		first, ok := c.ends.Take(ctx)
		if !ok {
			return
		}
		batch := append([]claim.Claim{first}, c.ends.Drain(batchMost-1)...)
		if c.writeEnds(ctx, batch) {
			continue
		}
		for _, e := range batch {
			if !c.writeEndUntilSettled(ctx, e) {
				return
			}
		}
	}
}

// writeEnds writes a batch of outcomes over the claims as this node made them,
// in one transaction, and tells whether that was applied. Anything doubtful is
// left to writeEnd, one by one.
func (c *Claims) writeEnds(ctx context.Context, batch []claim.Claim) bool {
	writes := make([]write.Write, 0, len(batch))
	seen := make(map[string]bool, len(batch))
	for _, e := range batch {
		if e.Version == 0 || seen[e.Key] {
			return false
		}
		seen[e.Key] = true
		writes = append(writes, write.Put(e.Key, e.Encode(), e.Version))
	}
	ctx, cancel := context.WithTimeout(ctx, settleMillis*time.Millisecond)
	defer cancel()
	c.transactions.Inc(1)
	applied, err := c.table.Transact(ctx, ident.New(), writes)
	return err == nil && applied
}

// writeEndUntilSettled writes one outcome, and returns false when the context
// ended before.
func (c *Claims) writeEndUntilSettled(ctx context.Context, e claim.Claim) bool {
	for !c.writeEnd(ctx, e) {
		if !pause.For(ctx, againMillis*time.Millisecond) {
			return false
		}
	}
	return true
}

// writeEnd writes one outcome over the claim that it belongs to, and tells
// whether that is settled. A claim that may not have arrived yet is met by
// another released row in its place, on which its own condition then fails.
func (c *Claims) writeEnd(ctx context.Context, e claim.Claim) bool {
	there, ok := c.read(ctx, e.Key)
	if !ok {
		return false
	}
	mine := there.Attempt == e.Attempt && there.State == claim.Running
	late := there.State == claim.Released && e.State == claim.Released && there.Version == e.Version
	if !mine && !late {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, settleMillis*time.Millisecond)
	defer cancel()
	c.transactions.Inc(1)
	_, err := c.table.Transact(ctx, ident.New(), []write.Write{write.Put(e.Key, e.Encode(), there.Version)})
	return err == nil
}
