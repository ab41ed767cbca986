// Package watch follows a table of the store: it reads all rows, and then waits for
// changes with long polls, through outages of the store and gaps in its history.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/cursor"
	"bergamotloom.example/feed"
	"bergamotloom.example/meter"
	"bergamotloom.example/pause"
	"bergamotloom.example/record"
)

const (
	// pollMillis is the time between two calls of a node that isn't a watcher;
	// watcherCheckDelay the time between two checks whether it has become one.
	pollMillis        = 30_000
	watcherCheckDelay = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after failed calls, which
	// doubles with each failure. A node that has read the rows and isn't a
	// watcher waits for pollMillis all the same.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// Watch follows one table, in one goroutine.
type Watch struct {
	store feed.Feed
	table string
	// minWaitMillis is the min timeout of a long poll, the max is twice that. As
	// the nodes poll at different times, one of them soon detects that the store
	// is available again or that a connection is silent, and tells its peers.
	minWaitMillis int
	clock         clock.Clock
	log           *slog.Logger
	// isWatcher reports whether this node long-polls the store for changes; the
	// others learn of changes from such nodes.
	isWatcher func() bool
	onRows    func([]record.Record)

	storeLost bool
	// hasStarted is true once the table was read for the first time.
	hasStarted bool
}

// New returns a watch of a table. It passes the rows that were read or have changed
// to onRows; a removed row has no value.
func New(store feed.Feed, table string, minWaitMillis int, c clock.Clock, log *slog.Logger, isWatcher func() bool, onRows func([]record.Record)) *Watch {
	return &Watch{store: store, table: table, minWaitMillis: minWaitMillis, clock: c, log: log, isWatcher: isWatcher, onRows: onRows}
}

// Run follows the table until the context ends.
func (w *Watch) Run(ctx context.Context) {
	var at cursor.Cursor
	hasRead := false
	retryDelay := minRetryDelay
	calledMillis := int64(0)
	for ctx.Err() == nil {
		if hasRead && !w.isWatcher() && w.clock.Since(calledMillis) < pollMillis {
			w.sleep(ctx, watcherCheckDelay)
			continue
		}
		calledMillis = w.clock.Now()
		next, err := w.poll(ctx, at, hasRead)
		switch {
		case errors.Is(err, feed.ErrHistoryDropped):
			w.log.Info("watch: the store dropped the history, reading all rows", "Table", w.table, "After", at.Version, "Era", at.Era)
			hasRead = false
		case errors.Is(err, feed.ErrRestored):
			w.log.Warn("watch: the store was restored from a copy, reading all rows", "Table", w.table, "After", at.Version, "EraBefore", at.Era, "Era", w.store.Era())
			hasRead = false
		case err != nil && ctx.Err() == nil:
			w.logLost(err)
			w.sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err == nil:
			w.logRegained()
			at, hasRead, retryDelay = next, true, minRetryDelay
		}
	}
}

// poll reads all rows, or, if they were read before, waits for changes after the
// position. It returns the position for the next call.
func (w *Watch) poll(ctx context.Context, after cursor.Cursor, hasRead bool) (cursor.Cursor, error) {
	ctx = meter.Because(ctx, w.reason(hasRead))
	var rows []record.Record
	var next cursor.Cursor
	var err error
	if hasRead {
		rows, next, err = w.store.Changes(ctx, w.table, after, w.waitTimeout())
	} else {
		rows, next, err = w.store.Rows(ctx, w.table)
	}
	if err == nil {
		w.hasStarted = true
		w.onRows(rows)
	}
	return next, err
}

// reason returns for counters why the store is called.
func (w *Watch) reason(hasRead bool) string {
	switch {
	case w.storeLost:
		return meter.Retry
	case !w.hasStarted:
		return meter.Start
	case !hasRead:
		return meter.Gap
	case w.isWatcher():
		return meter.Watch
	}
	return meter.Check
}

// waitTimeout returns how long the next call may wait for changes. After a failed
// call it doesn't wait: while a long call has no response yet, the node can't detect
// that the store is available again.
func (w *Watch) waitTimeout() time.Duration {
	if w.storeLost || !w.isWatcher() {
		return 0
	}
	return time.Duration(w.minWaitMillis+rand.IntN(w.minWaitMillis)) * time.Millisecond
}

func (w *Watch) logLost(err error) {
	if !w.storeLost {
		w.storeLost = true
		w.log.Warn("watch: store lost", "Table", w.table, "Error", err.Error())
	}
}

func (w *Watch) logRegained() {
	if w.storeLost {
		w.storeLost = false
		w.log.Info("watch: store regained", "Table", w.table)
	}
}

// sleep waits for a random time around delay, so that nodes don't call at the same
// time.
func (w *Watch) sleep(ctx context.Context, delay time.Duration) {
	pause.For(ctx, delay/2+rand.N(delay))
}
