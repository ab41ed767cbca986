// Package rates provides a blocking interface to package quota, so that the
// goroutine of a request can wait for a token of its team. It also runs the
// quota's reads and writes of the platform's table.
package rates

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotloom.example/clock"
	"bergamotloom.example/poller"
	"bergamotloom.example/quota"
	"bergamotloom.example/record"
	"bergamotloom.example/ring"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

const (
	// tickMillis is the time between two ticks of the quota while a request
	// waits for a token, idleTickMillis that at other times.
	tickMillis         = 5
	idleTickMillis     = 40
	tableTimeoutMillis = 1000
	tableQueueJobs     = 8192
	// cancelledRetryMillis is the retry hint of a request whose context ended while
	// it waited.
	cancelledRetryMillis = 100
)

// Rates waits for tokens and runs the table reads and writes of a Quota. It's safe
// for concurrent use.
type Rates struct {
	clock     clock.Clock
	quota     *quota.Quota
	table     table.Table
	tableJobs *ring.Ring[tableJob]
	ticker    *poller.Poller
	// waiting counts the requests that wait for a token.
	waiting atomic.Int64
}

// tableJob is a write of a row, or a read if write is nil.
type tableJob struct {
	key   string
	token string
	write *write.Write
}

// New returns the Rates of a quota that keeps its rows in the table.
func New(c clock.Clock, q *quota.Quota, t table.Table) *Rates {
	r := &Rates{clock: c, quota: q, table: t, tableJobs: ring.New[tableJob](tableQueueJobs), ticker: poller.New(tickMillis, idleTickMillis)}
	q.SetTable(
		func(key string) { r.tableJobs.Put(tableJob{key: key}) },
		func(token string, w write.Write) { r.tableJobs.Put(tableJob{key: w.Key, token: token, write: &w}) },
	)
	return r
}

// Take uses a token of the team for one request. If this node holds none, it waits
// for one, until package quota refuses the request (about 600 ms at most) or the context
// ends. Of a refusal, exhausted says that the team's tokens are used up, and not that
// none could be had in time. It says after how many milliseconds to retry.
func (r *Rates) Take(ctx context.Context, team string) (granted, exhausted bool, retryAfterMillis int64) {
	if ok, _ := r.quota.Take(team); ok {
		return true, false, 0
	}
	outcomes := make(chan outcome, 1)
	r.waiting.Add(1)
	defer r.waiting.Add(-1)
	r.ticker.Wake()
	r.quota.TakeOrWait(team, func(granted, exhausted bool, retryAfterMillis int64) {
		outcomes <- outcome{granted, exhausted, retryAfterMillis}
	})
	select {
	case o := <-outcomes:
		return o.granted, o.exhausted, o.retryAfterMillis
	case <-ctx.Done():
		return false, false, cancelledRetryMillis
	}
}

// outcome is what TakeOrWait passes to its done function.
type outcome struct {
	granted          bool
	exhausted        bool
	retryAfterMillis int64
}

// RunTicks calls the quota's Tick periodically until the context ends.
func (r *Rates) RunTicks(ctx context.Context) {
	r.ticker.Run(ctx, func() bool {
		r.quota.Tick()
		return r.waiting.Load() > 0
	})
}

// RunTable runs the quota's reads and writes until the context ends.
func (r *Rates) RunTable(ctx context.Context) {
	for {
		j, ok := r.tableJobs.Take(ctx)
		if !ok {
			return
		}
		r.runJob(ctx, j)
	}
}

func (r *Rates) runJob(ctx context.Context, j tableJob) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeoutMillis*time.Millisecond)
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
