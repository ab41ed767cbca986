// Package follow keeps the newest configuration in force at a node. It learns
// of new versions from the store, and from peers if the store doesn't respond.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/duty"
	"bergamotloom.example/feed"
	"bergamotloom.example/record"
	"bergamotloom.example/watch"
)

// minWaitMillis is the min timeout of a long poll for a new configuration.
const minWaitMillis = 6000

// Follow follows the store and holds the configuration in force. It's safe for
// many goroutines.
type Follow struct {
	watch  *watch.Watch
	key    string
	decode func([]byte) (*config.Config, error)
	log    *slog.Logger
	// onChange is called with each configuration that comes into force.
	onChange func(*config.Config)

	current atomic.Pointer[config.Config]
	mutex   sync.Mutex
	content []byte
}

// fleet tells about the node and its peers.
type fleet interface {
	Duty() duty.Duty
	StoreLost() bool
	PeerCount() int
}

// New returns a follower of the row with this key, which decode parses. No
// configuration is in force until Run or Apply has found one.
func New(store feed.Feed, table, key string, decode func([]byte) (*config.Config, error), c clock.Clock, log *slog.Logger, onChange func(*config.Config), fleet fleet) *Follow {
	f := &Follow{key: key, decode: decode, log: log, onChange: onChange}
	f.watch = watch.New(store, table, minWaitMillis, c, log, fleet, func() bool { return f.Current() != nil }, f.applyRows)
	return f
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

// SinceResponseMillis returns how long ago the store last responded to this node about
// the configuration, or -1 if it never did.
func (f *Follow) SinceResponseMillis() int64 {
	return f.watch.SinceResponseMillis()
}

// Content returns the configuration in force as the operator wrote it, or nil
// if there's none. It must not be modified.
func (f *Follow) Content() []byte {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.content
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
		f.log.Info("follow: configuration in force", "Version", c.Version(), "Before", before, "From", from, "SinceResponseMillis", f.watch.SinceResponseMillis())
	}
	return nil
}

// Run follows the store until the context ends.
func (f *Follow) Run(ctx context.Context) {
	f.watch.Run(ctx)
}

func (f *Follow) applyRows(rows []record.Record, _ bool) {
	for _, r := range rows {
		if r.Key != f.key || r.Value == nil {
			continue
		}
		if err := f.Apply(r.Value, "the store"); err != nil {
			f.log.Error("follow: the configuration is malformed", "Row", r.Version, "Error", err.Error())
		}
	}
}
