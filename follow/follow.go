// Package follow keeps the newest configuration in force at a node. It learns
// of new versions from the store, and from peers if the store doesn't respond.
package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/feed"
	"bergamotloom.example/pause"
	"bergamotloom.example/record"
)

const (
	// minWatchMillis is the min timeout of a long poll, the max is twice that.
	// As the nodes poll at different times, one of them soon detects that the
	// store is available again or that a connection is silent, and its peers
	// receive the configuration from it.
	minWatchMillis = 4000
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

// Follow follows the store and holds the configuration in force. It's safe for
// many goroutines.
type Follow struct {
	store  feed.Feed
	table  string
	key    string
	decode func([]byte) (*config.Config, error)
	clock  clock.Clock
	log    *slog.Logger
	// onChange is called with each configuration that comes into force.
	onChange func(*config.Config)
	// isWatcher reports whether this node long-polls the store for changes; the
	// others learn of changes from such nodes.
	isWatcher func() bool

	current   atomic.Pointer[config.Config]
	mutex     sync.Mutex
	content   []byte
	storeLost bool
	calls     atomic.Int64
}

// New returns a follower of the row with this key, which decode parses. No
// configuration is in force until Run or Apply has found one.
func New(store feed.Feed, table, key string, decode func([]byte) (*config.Config, error), c clock.Clock, log *slog.Logger, onChange func(*config.Config), isWatcher func() bool) *Follow {
	return &Follow{store: store, table: table, key: key, decode: decode, clock: c, log: log, onChange: onChange, isWatcher: isWatcher}
}

// Current returns the configuration in force, or nil if none is known yet.
func (f *Follow) Current() *config.Config {
	return f.current.Load()
}

// Version returns the version in force, or 0 if there's none.
func (f *Follow) Version() int64 {
	if c := f.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// Content returns the configuration in force as the operator wrote it, or nil
// if there's none. It must not be modified.
func (f *Follow) Content() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.content
}

// Calls returns the number of calls made to the store.
func (f *Follow) Calls() int64 {
	return f.calls.Load()
}

// Apply puts a configuration in force if it's newer than the current one. It
// returns an error if the configuration is malformed.
func (f *Follow) Apply(content []byte, from string) error {
	c, err := f.decode(content)
	if err != nil {
		return errors.Wrap(err, "from "+from)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if before := f.Version(); c.Version() > before {
		f.content = content
		// Updates the rates before the keys of the new version can be used.
		f.onChange(c)
		f.current.Store(c)
		f.log.Info("follow: configuration in force", "Version", c.Version(), "Before", before, "From", from)
	}
	return nil
}

// Run follows the store until the context ends.
func (f *Follow) Run(ctx context.Context) {
	var version int64
	hasVersion := false
	retryDelay := minRetryDelay
	calledMillis := int64(0)
	for ctx.Err() == nil {
		if hasVersion && !f.isWatcher() && f.clock.Since(calledMillis) < pollMillis {
			f.sleep(ctx, watcherCheckDelay)
			continue
		}
		calledMillis = f.clock.Now()
		timeout := time.Duration(0)
		if f.isWatcher() && !f.storeLost {
			// After a failed call the next one doesn't wait for changes: while a
			// long call has no response yet, the node can't detect that the
			// store is available again.
			timeout = time.Duration(minWatchMillis+rand.IntN(minWatchMillis)) * time.Millisecond
		}
		next, err := f.poll(ctx, version, hasVersion, timeout)
		switch {
		case errors.Is(err, feed.ErrHistoryDropped):
			f.log.Info("follow: the store dropped the history, reading all rows", "After", version)
			hasVersion = false
		case err != nil && ctx.Err() == nil:
			f.logLost(err)
			f.sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err == nil:
			f.logRegained()
			version, hasVersion, retryDelay = next, true, minRetryDelay
		}
	}
}

// poll reads all rows, or, with hasVersion, waits up to timeout for changes
// after the version. It returns the version for the next call.
func (f *Follow) poll(ctx context.Context, version int64, hasVersion bool, timeout time.Duration) (int64, error) {
	f.calls.Add(1)
	var rows []record.Record
	var next int64
	var err error
	if hasVersion {
		rows, next, err = f.store.Changes(ctx, f.table, version, timeout)
	} else {
		rows, next, err = f.store.Rows(ctx, f.table)
	}
	if err != nil {
		return 0, err
	}
	for _, r := range rows {
		if r.Key != f.key || r.Value == nil {
			continue
		}
		if err := f.Apply(r.Value, "the store"); err != nil {
			f.log.Error("follow: the configuration is malformed", "Row", r.Version, "Error", err.Error())
		}
	}
	return next, nil
}

func (f *Follow) logLost(err error) {
	if !f.storeLost {
		f.storeLost = true
		f.log.Warn("follow: store lost", "Error", err.Error())
	}
}

func (f *Follow) logRegained() {
	if f.storeLost {
		f.storeLost = false
		f.log.Info("follow: store regained")
	}
}

// sleep waits for a random time around delay, so that nodes don't
// call at the same time.
func (f *Follow) sleep(ctx context.Context, delay time.Duration) {
	pause.For(ctx, delay/2+rand.N(delay))
}
