// Package follow keeps the newest configuration in force at a node: it hears
// of it from the store, and from peers where the store doesn't answer.
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
	// holdMillis to twice as much is how long a call waits for changes. Nodes
	// ask at different times, so that one of them soon finds out when the
	// store is back, or when a connection has gone silent, and tells the rest.
	holdMillis = 4000
	// lookMillis passes between two looks of a node that doesn't hold a call,
	// restPause between two of its questions whether it should.
	lookMillis = 30_000
	restPause  = 200 * time.Millisecond
	// firstPause to mostPause pass after calls that fail, doubled each time.
	firstPause = 100 * time.Millisecond
	mostPause  = 1200 * time.Millisecond
)

// Follow holds the configuration in force. It's safe for many goroutines.
type Follow struct {
	store  feed.Feed
	table  string
	key    string
	decode func([]byte) (*config.Config, error)
	clock  clock.Clock
	log    *slog.Logger
	// onChange is told each configuration that comes into force.
	onChange func(*config.Config)
	// watches tells whether this node is one of those that hold a call to the
	// store; the others hear of changes from them.
	watches func() bool

	current atomic.Pointer[config.Config]
	mutex   sync.Mutex
	content []byte
	away    bool
	calls   atomic.Int64
}

// New returns a follower of the row with this key, which decode reads. No
// configuration is in force until Run or Apply has found one.
func New(store feed.Feed, table, key string, decode func([]byte) (*config.Config, error), c clock.Clock, log *slog.Logger, onChange func(*config.Config), watches func() bool) *Follow {
	return &Follow{store: store, table: table, key: key, decode: decode, clock: c, log: log, onChange: onChange, watches: watches}
}

// Current returns the configuration in force, or nil if none is known yet.
func (f *Follow) Current() *config.Config {
	return f.current.Load()
}

// Version returns the version in force, or 0.
func (f *Follow) Version() int64 {
	if c := f.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// Content returns the configuration in force as the operator wrote it.
func (f *Follow) Content() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.content
}

// Calls returns how many calls were made to the store.
func (f *Follow) Calls() int64 {
	return f.calls.Load()
}

// Apply puts a configuration in force unless it isn't newer than the current one.
// The error says that it's malformed.
func (f *Follow) Apply(content []byte, from string) error {
	c, err := f.decode(content)
	if err != nil {
		return errors.Wrap(err, "from "+from)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if before := f.Version(); c.Version() > before {
		f.content = content
		// Rates and keys change together.
		f.onChange(c)
		f.current.Store(c)
		f.log.Info("follow: configuration in force", "Version", c.Version(), "Before", before, "From", from)
	}
	return nil
}

// Run follows the store until the context ends.
func (f *Follow) Run(ctx context.Context) {
	var version int64
	known := false
	pause := firstPause
	lookedAt := int64(0)
	for ctx.Err() == nil {
		if known && !f.watches() && f.clock.Since(lookedAt) < lookMillis {
			f.sleep(ctx, restPause)
			continue
		}
		lookedAt = f.clock.Now()
		hold := time.Duration(0)
		if f.watches() && !f.away {
			// After a failed call the store is asked without waiting: a held
			// call that it doesn't answer would hide its return.
			hold = time.Duration(holdMillis+rand.IntN(holdMillis)) * time.Millisecond
		}
		next, err := f.step(ctx, version, known, hold)
		switch {
		case errors.Is(err, feed.ErrHistoryDropped):
			f.log.Info("follow: the history is gone", "After", version)
			known = false
		case err != nil && ctx.Err() == nil:
			f.lost(err)
			f.sleep(ctx, pause)
			pause = min(2*pause, mostPause)
		case err == nil:
			f.regained()
			version, known, pause = next, true, firstPause
		}
	}
}

// step asks for the row, or for its changes after the version if that's known.
func (f *Follow) step(ctx context.Context, version int64, known bool, hold time.Duration) (int64, error) {
	f.calls.Add(1)
	var rows []record.Record
	var next int64
	var err error
	if known {
		rows, next, err = f.store.Changes(ctx, f.table, version, hold)
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
			f.log.Error("follow: the configuration can't be read", "Row", r.Version, "Error", err.Error())
		}
	}
	return next, nil
}

func (f *Follow) lost(err error) {
	if !f.away {
		f.away = true
		f.log.Warn("follow: store lost", "Error", err.Error())
	}
}

func (f *Follow) regained() {
	if f.away {
		f.away = false
		f.log.Info("follow: store regained")
	}
}

// sleep waits about so long, a little more or less at each node.
func (f *Follow) sleep(ctx context.Context, wait time.Duration) {
	pause.For(ctx, wait/2+rand.N(wait))
}
