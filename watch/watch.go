// Package watch follows a table of the store: it reads all rows, and then waits for
// changes with long polls, through outages of the store and gaps in its history. Only
// the nodes that package duty names do so; the others learn of changes from them.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/cursor"
	"bergamotloom.example/duty"
	"bergamotloom.example/feed"
	"bergamotloom.example/meter"
	"bergamotloom.example/pause"
	"bergamotloom.example/record"
)

const (
	// firstReadMillis is how long after the start a node reads a table of which peers
	// have told it nothing; some nodes wait for twice as long. If a whole fleet starts,
	// the pioneers, one node in pioneerDivisor, read it at once and tell the others.
	firstReadMillis = 600
	pioneerDivisor  = 8
	// minCheckMillis is the min time between two looks at the store of a node that
	// doesn't watch it, in case the news of those who do don't reach it;
	// checkMillisPerPeer bounds those of the whole fleet to one a second.
	minCheckMillis     = 120_000
	checkMillisPerPeer = 1000
	// lostCheckMillis is the time between two calls of a node that knows nothing of the
	// table, while the store is lost and others look for its return.
	lostCheckMillis = 5000
	// dutyCheckDelay is the time between two checks whether a call is due.
	dutyCheckDelay = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after failed calls, which
	// doubles with each failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// maxPositionMillis is the age at which a position counts as lost: the store keeps
	// its history for some seconds only.
	maxPositionMillis = 10_000
)

// fleet tells a Watch about its node and the node's peers.
type fleet interface {
	// Duty returns the node's duty.
	Duty() duty.Duty
	// StoreLost reports whether the store couldn't be reached when it was last called.
	StoreLost() bool
	// PeerCount returns the number of peers.
	PeerCount() int
}

// Watch follows one table, in one goroutine.
type Watch struct {
	store feed.Feed
	table string
	// minWaitMillis is the min timeout of a long poll, the max is twice that. As
	// the nodes poll at different times, one of them soon detects that a connection is
	// silent, and tells its peers of what it has missed.
	minWaitMillis int
	clock         clock.Clock
	log           *slog.Logger
	fleet         fleet
	// firstReadAt is when the table is read if the node knows nothing of it.
	firstReadAt int64
	// isKnown reports whether the node knows what the table has without reading it.
	isKnown func() bool
	onRows  func(rows []record.Record, all bool)

	startedMillis int64
	// at is the position up to which the table is known, as of readMillis; it's valid
	// only if hasRead is true.
	at         cursor.Cursor
	hasRead    bool
	readMillis int64
	// calledMillis is when the store was last called.
	calledMillis int64
	storeLost    bool
	// logged is the duty that was last logged.
	logged duty.Duty
	// respondedMillis is when the store last responded; 0 before that.
	respondedMillis atomic.Int64
}

// New returns a watch of a table. It passes the rows that were read or have changed
// to onRows; all says that they're all rows, and not changes, of which a removed row
// has no value. IsKnown reports whether the node has learned elsewhere what the table
// has.
func New(store feed.Feed, table string, minWaitMillis int, c clock.Clock, log *slog.Logger, fleet fleet, isKnown func() bool, onRows func(rows []record.Record, all bool)) *Watch {
	w := &Watch{
		store: store, table: table, minWaitMillis: minWaitMillis, clock: c, log: log,
		fleet: fleet, isKnown: isKnown, onRows: onRows, startedMillis: c.Now(), firstReadAt: c.Now(),
	}
	if rand.IntN(pioneerDivisor) != 0 {
		w.firstReadAt += firstReadMillis + rand.Int64N(firstReadMillis)
	}
	return w
}

// Run follows the table until the context ends.
func (w *Watch) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		d := w.fleet.Duty()
		w.logDuty(d)
		reason, due := w.isDue(d)
		if !due {
			w.sleep(ctx, dutyCheckDelay)
			continue
		}
		w.calledMillis = w.clock.Now()
		err := w.poll(meter.Because(ctx, reason), d)
		switch {
		case errors.Is(err, feed.ErrHistoryDropped):
			w.log.Info("watch: the store dropped the history, reading all rows", "Table", w.table, "After", w.at.Version, "Era", w.at.Era)
			w.hasRead = false
		case errors.Is(err, feed.ErrRestored):
			w.log.Warn("watch: the store was restored from a copy, reading all rows", "Table", w.table, "After", w.at.Version, "EraBefore", w.at.Era, "Era", w.store.Era())
			w.hasRead = false
		case err != nil && ctx.Err() == nil:
			w.logLost(err)
			w.sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err == nil:
			w.respondedMillis.Store(w.clock.Now())
			w.logRegained()
			retryDelay = minRetryDelay
		}
	}
}

// isDue reports whether to call the store now, and why.
func (w *Watch) isDue(d duty.Duty) (reason string, due bool) {
	now := w.clock.Now()
	switch {
	case w.fleet.StoreLost() && d.Probes:
		return meter.Retry, true
	case d.Watches && !w.hasRead && w.readMillis == 0:
		return meter.Start, true
	case d.Watches && !w.hasRead:
		return meter.Gap, true
	case d.Watches:
		return meter.Watch, true
	case !w.isKnown() && now >= w.firstReadAt && w.calledMillis == 0:
		return meter.Start, true
	case !w.isKnown() && w.calledMillis != 0 && now-w.calledMillis >= lostCheckMillis:
		return meter.Retry, true
	}
	checkMillis := max(minCheckMillis, int64(w.fleet.PeerCount())*checkMillisPerPeer)
	return meter.Check, now-max(w.calledMillis, w.startedMillis) >= checkMillis
}

// poll reads all rows, or, if they were read shortly before, waits for changes after
// that position.
func (w *Watch) poll(ctx context.Context, d duty.Duty) error {
	var rows []record.Record
	var next cursor.Cursor
	var err error
	all := !w.hasRead || w.clock.Since(w.readMillis) > maxPositionMillis
	if all {
		rows, next, err = feed.Rows(ctx, w.store, w.table)
	} else {
		rows, next, err = w.store.Changes(ctx, w.table, w.at, w.waitTimeout(d))
	}
	if err != nil {
		return err
	}
	w.at, w.hasRead, w.readMillis = next, true, w.clock.Now()
	w.onRows(rows, all)
	return nil
}

// waitTimeout returns how long the next call may wait for changes. After a failed
// call it doesn't wait: while a long call has no response yet, the node can't detect
// that the store is available again.
func (w *Watch) waitTimeout(d duty.Duty) time.Duration {
	if w.storeLost || !d.Watches {
		return 0
	}
	return time.Duration(w.minWaitMillis+rand.IntN(w.minWaitMillis)) * time.Millisecond
}

// SinceResponseMillis returns how long ago the store last responded to this node about
// the table, or -1 if it never did.
func (w *Watch) SinceResponseMillis() int64 {
	if responded := w.respondedMillis.Load(); responded != 0 {
		return w.clock.Since(responded)
	}
	return -1
}

// logDuty logs whether the node calls the store for the fleet, when that changes.
func (w *Watch) logDuty(d duty.Duty) {
	if d.Watches != w.logged.Watches || d.Probes != w.logged.Probes {
		w.log.Info("watch: duty", "Table", w.table, "Watches", d.Watches, "Probes", d.Probes, "Reaching", d.Reaching, "Losing", d.Losing, "SinceResponseMillis", w.SinceResponseMillis())
	}
	w.logged = d
}

func (w *Watch) logLost(err error) {
	if !w.storeLost {
		w.storeLost = true
		w.log.Warn("watch: store lost", "Table", w.table, "Error", err.Error(), "CallMillis", w.clock.Since(w.calledMillis), "SinceResponseMillis", w.SinceResponseMillis())
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
