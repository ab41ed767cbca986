// Package follow keeps the newest configuration in force at a node, and the set of evacuated
// data centres, whose rows are in the same table. It learns of changes from the store, and
// from peers if the store doesn't respond.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/cursor"
	"bergamotloom.example/duty"
	"bergamotloom.example/evac"
	"bergamotloom.example/feed"
	"bergamotloom.example/fresh"
	"bergamotloom.example/record"
	"bergamotloom.example/watch"
)

// minWaitMillis is the min timeout of a long poll for a new configuration. The store
// allows 30 s, and a poll may take twice this.
const minWaitMillis = 14_000

// Follow follows the store and holds the configuration in force. It's safe for
// many goroutines.
type Follow struct {
	watch  *watch.Watch
	fresh  *fresh.Fresh
	evac   *evac.Evac
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

// New returns a follower of the row with this key, which decode parses, and of the rows of
// evacuations. Fresh bounds the age of both. No configuration is in force until Run or Apply has
// found one.
func New(store feed.Feed, table, key string, decode func([]byte) (*config.Config, error), c clock.Clock, log *slog.Logger, onChange func(*config.Config), fresh *fresh.Fresh, evac *evac.Evac, fleet fleet) *Follow {
	f := &Follow{fresh: fresh, evac: evac, key: key, decode: decode, log: log, onChange: onChange}
	f.watch = watch.New(store, table, minWaitMillis, c, log, fresh, fleet, func() bool { return f.Current() != nil }, f.applyRows)
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

// Describe adds to a card which version is in force, the evacuations, and as of when the
// store had nothing newer.
func (f *Follow) Describe(c card.Card, era int64) card.Card {
	// Version and evacuations may be newer than the position, but not older.
	at, ageMillis, ok := f.fresh.Tell()
	c.Version = f.Version()
	if ok && at.Era == era {
		c.StoreVersion, c.StoreAgeMillis = at.Version, ageMillis
	}
	return f.evac.Describe(c)
}

// Learn takes in the evacuations on the card of a peer, and as of when the store had nothing
// newer than they and the version in force, if the peer has no newer version. A relayed card
// is of an unknown age, and a position of an earlier era than the present one is of no use.
// So is one of a peer that doesn't tell its evacuations: the node would take the row of one
// that lies before the position for read, and never learn of it.
func (f *Follow) Learn(c card.Card, era, nowMillis int64) {
	hasEvacuations := f.evac.Learn(c)
	if hasEvacuations && c.StoreVersion > 0 && c.Relays == 0 && c.StoreEra >= era && c.Version <= f.Version() {
		f.fresh.Confirm(cursor.Cursor{Era: c.StoreEra, Version: c.StoreVersion}, nowMillis-c.StoreAgeMillis)
	}
}

// HasNews reports whether there's a confirmation that peers weren't told yet.
func (f *Follow) HasNews() bool {
	return f.fresh.HasNews()
}

// AgeMillis returns how long ago the store had nothing newer than the version in force,
// as far as this node knows.
func (f *Follow) AgeMillis() int64 {
	return f.fresh.AgeMillis()
}

// Run follows the store until the context ends.
func (f *Follow) Run(ctx context.Context) {
	f.watch.Run(ctx)
}

func (f *Follow) applyRows(rows []record.Record, all bool, at cursor.Cursor) {
	// A node can serve once it has a configuration, and then has to know the evacuations.
	f.evac.OnRows(rows, all, at)
	for _, r := range rows {
		if r.Key != f.key || r.Value == nil {
			continue
		}
		if err := f.Apply(r.Value, "the store"); err != nil {
			f.log.Error("follow: the configuration is malformed", "Row", r.Version, "Error", err.Error())
		}
	}
}
