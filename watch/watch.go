// Package watch follows a table of the store: it reads all rows, and then waits for
// changes with long polls, through outages of the store and gaps in its history. Only
// the nodes that package duty names do so; the others learn of changes from them, and ask
// only if they aren't told for too long that there are none, as package fresh decides.
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
	"bergamotloom.example/fresh"
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
	// minCheckDelay is the min time between two looks at whether to end a long poll.
	minCheckDelay = 10 * time.Millisecond
)

// errEnded is the cause with which a poll is ended that is of no use any more.
var errEnded = errors.New("the poll was ended")

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
	// minWaitMillis is the min timeout of a long poll, the max is twice that. A node that
	// confirms for the fleet makes shorter ones.
	minWaitMillis int
	clock         clock.Clock
	log           *slog.Logger
	fleet         fleet
	// firstReadAt is when the table is read if the node knows nothing of it.
	firstReadAt int64
	// isKnown reports whether the node knows what the table has without reading it.
	isKnown func() bool
	onRows  func(rows []record.Record, all bool, at cursor.Cursor)

	startedMillis int64
	// fresh knows up to which position the table is known, and how old that is.
	fresh *fresh.Fresh
	// hasRead says that the node has read the table itself.
	hasRead bool
	// calledMillis is when the store was last called, failures how many calls have failed
	// since one didn't.
	calledMillis int64
	failures     int
	storeLost    bool
	// logged is the duty that was last logged.
	logged duty.Duty
	// respondedMillis is when the store last responded; 0 before that.
	respondedMillis atomic.Int64
}

// New returns a watch of a table. It passes the rows that were read or have changed
// to onRows, with the position as of which they're known; all says that they're all rows,
// and not changes, of which a removed row has no value. IsKnown reports whether the node has learned elsewhere what the table
// has, and fresh bounds the age of that.
func New(store feed.Feed, table string, minWaitMillis int, c clock.Clock, log *slog.Logger, fresh *fresh.Fresh, fleet fleet, isKnown func() bool, onRows func(rows []record.Record, all bool, at cursor.Cursor)) *Watch {
	w := &Watch{
		store: store, table: table, minWaitMillis: minWaitMillis, clock: c, log: log,
		fresh: fresh, fleet: fleet, isKnown: isKnown, onRows: onRows, startedMillis: c.Now(), firstReadAt: c.Now(),
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
			pause.For(ctx, min(w.randomize(dutyCheckDelay), w.untilOld(d)))
			continue
		}
		w.calledMillis = w.clock.Now()
		err := w.poll(meter.Because(ctx, reason), d)
		switch {
		case errors.Is(err, feed.ErrHistoryDropped):
			at, _ := w.fresh.Position()
			w.log.Info("watch: the store dropped the history, reading all rows", "Table", w.table, "After", at.Version, "Era", at.Era)
			w.fresh.DropPosition()
		case errors.Is(err, feed.ErrRestored):
			at, _ := w.fresh.Position()
			w.log.Warn("watch: the store was restored from a copy, reading all rows", "Table", w.table, "After", at.Version, "EraBefore", at.Era, "Era", w.store.Era())
			w.fresh.DropPosition()
		case errors.Is(err, errEnded):
			w.log.Info("watch: a poll without response was ended", "Table", w.table, "CallMillis", w.clock.Since(w.calledMillis), "AgeMillis", w.fresh.AgeMillis())
		case err != nil && ctx.Err() == nil:
			w.failures++
			w.logLost(err)
			pause.For(ctx, w.randomize(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err == nil:
			w.respondedMillis.Store(w.clock.Now())
			w.failures = 0
			w.logRegained()
			retryDelay = minRetryDelay
		}
	}
}

// isDue reports whether to call the store now, and why.
func (w *Watch) isDue(d duty.Duty) (reason string, due bool) {
	now := w.clock.Now()
	isOld := w.isKnown() && w.fresh.MillisUntilOld(d.Reaching, d.Live) <= 0
	switch {
	case w.fleet.StoreLost() && d.Probes && (isOld || !d.Covered):
		return meter.Retry, true
	case d.Watches && !w.hasRead:
		return meter.Start, true
	case d.Watches && !w.hasPosition():
		return meter.Gap, true
	case d.Watches:
		return meter.Watch, true
	case !w.isKnown() && now >= w.firstReadAt && w.calledMillis == 0:
		return meter.Start, true
	case !w.isKnown() && w.calledMillis != 0 && now-w.calledMillis >= lostCheckMillis:
		return meter.Retry, true
	case isOld && w.mayAsk(now, d):
		return meter.Old, true
	}
	checkMillis := max(minCheckMillis, int64(w.fleet.PeerCount())*checkMillisPerPeer)
	return meter.Check, now-max(w.calledMillis, w.startedMillis) >= checkMillis
}

// mayAsk reports whether a node that doesn't watch the store may call it. After one
// failure it may call again, as a connection of its pool may have been silent.
func (w *Watch) mayAsk(now int64, d duty.Duty) bool {
	return w.failures <= 1 || now-w.calledMillis >= w.fresh.RetryMillis(d.Live)
}

func (w *Watch) hasPosition() bool {
	_, ok := w.fresh.Position()
	return ok
}

// untilOld returns how long to wait at most before the next check whether the node's
// knowledge is too old.
func (w *Watch) untilOld(d duty.Duty) time.Duration {
	untilMillis := w.fresh.MillisUntilOld(d.Reaching, d.Live)
	if untilMillis <= 0 || untilMillis >= dutyCheckDelay.Milliseconds() {
		return dutyCheckDelay
	}
	return max(time.Duration(untilMillis)*time.Millisecond, minCheckDelay)
}

// poll reads all rows, or, if there's a position from which changes can be read, waits
// for changes after that.
func (w *Watch) poll(ctx context.Context, d duty.Duty) error {
	isOld := w.fresh.MillisUntilOld(d.Reaching, d.Live) <= 0
	wait := w.waitTimeout(d, isOld)
	ctx, cancel := w.withTimeout(ctx, isOld, d)
	defer cancel()
	sentMillis := w.clock.Now()
	at, hasPosition := w.fresh.Position()
	var rows []record.Record
	var next cursor.Cursor
	var err error
	if hasPosition {
		rows, next, err = w.changes(ctx, at, wait, d)
	} else {
		rows, next, err = feed.Rows(ctx, w.store, w.table)
	}
	if err != nil {
		return err
	}
	// Only an empty response tells of the time after the call was sent.
	asOfMillis := sentMillis
	if hasPosition && len(rows) == 0 {
		asOfMillis = min(sentMillis+wait.Milliseconds(), w.clock.Now())
	}
	w.hasRead = true
	// Peers may be told of the position at once, so that what was read must be known.
	w.onRows(rows, !hasPosition, next)
	w.fresh.Read(next, asOfMillis)
	return nil
}

// changes waits for changes after a position. It returns errEnded if the wait turned out
// to be of no use.
func (w *Watch) changes(ctx context.Context, at cursor.Cursor, wait time.Duration, d duty.Duty) ([]record.Record, cursor.Cursor, error) {
	if wait == 0 {
		return w.store.Changes(ctx, w.table, at, 0)
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	go w.endUseless(ctx, end, d)
	rows, next, err := w.store.Changes(ctx, w.table, at, wait)
	if err != nil && errors.Is(context.Cause(ctx), errEnded) {
		return nil, cursor.Cursor{}, errEnded
	}
	return rows, next, err
}

// endUseless ends a long poll whose path to the store may be dead: another call has
// failed, or there was no confirmation for too long. It also ends one that is too long, as
// the node now has to confirm for the fleet.
func (w *Watch) endUseless(ctx context.Context, end context.CancelCauseFunc, began duty.Duty) {
	wasLost := w.fleet.StoreLost()
	for d := began; ctx.Err() == nil; d = w.fleet.Duty() {
		confirms := w.fresh.HasBound() && d.Leads && !began.Leads
		if confirms || w.fleet.StoreLost() && !wasLost || w.fresh.MillisUntilOld(d.Reaching, d.Live) <= 0 {
			end(errEnded)
			return
		}
		pause.For(ctx, w.untilOld(d))
	}
}

// withTimeout bounds a call of a node that has to ask soon, so that another one, on a new
// connection, can take its place in time. Others have the bounds of the store.
func (w *Watch) withTimeout(ctx context.Context, isOld bool, d duty.Duty) (context.Context, context.CancelFunc) {
	if !isOld || !w.isKnown() || w.fleet.StoreLost() && d.Probes {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(w.fresh.AttemptMillis(w.failures))*time.Millisecond)
}

// waitTimeout returns how long the next call may wait for changes. After a failed
// call it doesn't wait: while a long call has no response yet, the node can't detect
// that the store is available again.
func (w *Watch) waitTimeout(d duty.Duty, isOld bool) time.Duration {
	switch {
	case w.storeLost || !d.Watches || isOld:
		return 0
	case d.Leads && w.fresh.HasBound():
		untilMillis := w.fresh.ConfirmMillis() - max(w.fresh.AgeMillis(), 0)
		return time.Duration(max(untilMillis, 0)) * time.Millisecond
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

// randomize returns a random time around delay, so that nodes don't call at the same
// time.
func (w *Watch) randomize(delay time.Duration) time.Duration {
	return delay/2 + rand.N(delay)
}
