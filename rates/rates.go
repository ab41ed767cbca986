// Package rates lets requests wait for a token of their team: it turns the
// callbacks of package quota into something that a goroutine can wait for, and
// carries out the quota's work on the platform's table.
package rates

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotloom.example/beat"
	"bergamotloom.example/clock"
	"bergamotloom.example/quota"
	"bergamotloom.example/record"
	"bergamotloom.example/ring"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

const (
	// tickMillis is how often the clockwork runs while a request waits for a
	// token, and idleMillis how often otherwise.
	tickMillis       = 5
	idleMillis       = 40
	tableMillis      = 1000
	tableRing        = 8192
	cancelledRetryMs = 100
)

// Rates is the node's part of the fleet-wide rates, for waiting goroutines.
type Rates struct {
	clock clock.Clock
	quota *quota.Quota
	table table.Table
	jobs  *ring.Ring[job]
	beat  *beat.Beat
	// waiting counts the requests that wait for a token.
	waiting atomic.Int64
}

// job is one read (write is nil) or write of a row.
type job struct {
	key   string
	token string
	write *write.Write
}

// New returns the rates over the quota, which keeps its rows in the table.
func New(c clock.Clock, q *quota.Quota, t table.Table) *Rates {
	r := &Rates{clock: c, quota: q, table: t, jobs: ring.New[job](tableRing), beat: beat.New(tickMillis, idleMillis)}
	q.SetTable(
		func(key string) { r.jobs.Put(job{key: key}) },
		func(token string, w write.Write) { r.jobs.Put(job{key: w.Key, token: token, write: &w}) },
	)
	return r
}

// Take takes one request from the team's rate. It waits a few milliseconds for
// a token when none is at hand.
func (r *Rates) Take(ctx context.Context, team string) (granted bool, retryAfterMillis int64) {
	if ok, _ := r.quota.Take(team); ok {
		return true, 0
	}
	answered := make(chan outcome, 1)
	r.waiting.Add(1)
	defer r.waiting.Add(-1)
	r.beat.Wake()
	r.quota.TakeOrWait(team, func(granted bool, retryAfter int64) {
		answered <- outcome{granted, retryAfter}
	})
	select {
	case o := <-answered:
		return o.granted, o.retryAfter
	case <-ctx.Done():
		return false, cancelledRetryMs
	}
}

type outcome struct {
	granted    bool
	retryAfter int64
}

// RunTicks drives the quota's clockwork until the context ends.
func (r *Rates) RunTicks(ctx context.Context) {
	r.beat.Run(ctx, func() bool {
		r.quota.Tick()
		return r.waiting.Load() > 0
	})
}

// RunTable carries out the quota's reads and writes until the context ends.
func (r *Rates) RunTable(ctx context.Context) {
	for {
		j, ok := r.jobs.Take(ctx)
		if !ok {
			return
		}
		r.carryOut(ctx, j)
	}
}

func (r *Rates) carryOut(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, tableMillis*time.Millisecond)
	defer cancel()
	if j.write != nil {
		applied, err := r.table.Transact(ctx, j.token, []write.Write{*j.write})
		r.quota.WriteDone(j.key, j.token, applied, err)
		return
	}
	var (
		row   record.Record
		found bool
		err   error
	)
	row, found, err = r.table.Get(ctx, j.key)
	r.quota.ReadDone(j.key, row, found, err)
}
