// Package spread brings each accepted configuration into force at its node:
// from the platform's table, from facts that nodes pass on, and by asking a
// peer for what was missed.
//
// The table is the truth and not the channel. All nodes together read the
// version in force about pollsPerSecond times a second, each with the part
// that falls to it, so that no node is elected for that. Who sees a new
// version reads the files, and spreads the change as a fact.
package spread

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/change"
	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/gossip"
	"bergamotloom.example/inforc"
	"bergamotloom.example/ring"
)

// Kind names the messages between spreaders.
const Kind = "Config"

const (
	// versionKey is the fact that names the newest accepted version.
	versionKey = "version"
	changeKeys = "config/"
	// changeLifeMillis is how long a change is passed on as a fact. Who comes
	// later asks a peer.
	changeLifeMillis = 600_000

	pollMillis     = 500
	pollsPerSecond = 24
	readMillis     = 2000
	askRingSize    = 64

	// askAfterMillis is how long a node waits for a missing change to come by
	// itself before it asks a peer.
	askAfterMillis = 400
	// staleMillis is how long a node serves on while it knows that it misses
	// an accepted change, or hears from neither the table nor any peer.
	staleMillis = 3000
	// pausedMillis without a tick tells that the process was stopped.
	pausedMillis = 1000
	// changesMost is how many changes one answer holds; more are answered by
	// the whole configuration.
	changesMost = 16
)

// reader reads the configuration out of the table.
type reader interface {
	// Version returns the version in force, 0 before the first.
	Version(ctx context.Context) (int64, error)
	// Change returns one accepted change, or false if it isn't kept.
	Change(ctx context.Context, version int64) (change.Change, bool, error)
	// Whole returns the configuration in force with all its files.
	Whole(ctx context.Context) (change.Change, error)
}

// Spreader keeps one node's configuration up to date.
type Spreader struct {
	clock  clock.Clock
	table  reader
	store  *inforc.Store
	gossip *gossip.Gossip
	send   func(to, kind string, body []byte)
	self   string
	log    *slog.Logger

	heardAt  atomic.Int64
	tickedAt atomic.Int64
	missing  atomic.Int64
	askedAt  int64
	notes    *ring.Ring[incoming]
	polls    metrics.Counter
	failed   metrics.Counter
}

// New returns the spreader of the node self. Send queues a message to a peer.
func New(c clock.Clock, self string, table reader, store *inforc.Store, g *gossip.Gossip,
	send func(to, kind string, body []byte), registry metrics.Registry, log *slog.Logger,
) *Spreader {
	s := &Spreader{
		clock:  c,
		table:  table,
		store:  store,
		gossip: g,
		send:   send,
		self:   self,
		log:    log,
		notes:  ring.New[incoming](askRingSize),
		polls:  metrics.GetOrRegisterCounter("Config.TableReads", registry),
		failed: metrics.GetOrRegisterCounter("Config.TableReadsFailed", registry),
	}
	s.tickedAt.Store(c.Now())
	return s
}

// InForce returns the configuration that the node may serve by. It returns
// false while there is none, while the node has been cut off or has missed an
// accepted change for too long, and after a pause until it has caught up.
func (s *Spreader) InForce() (*config.Config, bool) {
	c := s.store.Current()
	if c.Version() == 0 || s.cutOff() || s.paused() {
		return c, false
	}
	since := s.missing.Load()
	if since != 0 && s.clock.Since(since) > staleMillis {
		return c, false
	}
	return c, s.gossip.Synced()
}

// cutOff tells whether neither the table nor a peer was heard for too long.
func (s *Spreader) cutOff() bool {
	heard := max(s.heardAt.Load(), s.gossip.LastSeenMillis())
	return s.clock.Since(heard) > staleMillis
}

// paused tells whether the process was stopped and hasn't ticked since.
func (s *Spreader) paused() bool {
	return s.clock.Since(s.tickedAt.Load()) > pausedMillis
}

// OnFact takes a fact that the gossip brought.
func (s *Spreader) OnFact(key string, version int64, value []byte) {
	if key == versionKey {
		s.store.Learn(version)
		return
	}
	if len(key) <= len(changeKeys) || key[:len(changeKeys)] != changeKeys {
		return
	}
	s.offerEncoded(value)
}

func (s *Spreader) offerEncoded(encoded []byte) {
	c, err := change.Decode(encoded)
	if err != nil {
		s.log.Warn("config: a peer sent a malformed change", "Error", err)
		return
	}
	s.offer(c)
}

func (s *Spreader) offer(c change.Change) {
	before := s.store.Current().Version()
	if err := s.store.Offer(c); err != nil {
		s.log.Error("config: an accepted change can't be loaded", "Version", c.Version, "Error", err)
		return
	}
	if after := s.store.Current().Version(); after > before {
		s.log.Info("config: a version is in force", "Version", after)
	}
}

// Tick looks for missing changes. It's called every 100 ms or so.
func (s *Spreader) Tick() {
	now := s.clock.Now()
	s.tickedAt.Store(now)
	first, _, ok := s.store.Missing()
	if !ok && s.store.Current().Version() > 0 {
		s.missing.Store(0)
		return
	}
	s.missing.CompareAndSwap(0, now)
	if now-s.missing.Load() < askAfterMillis || now-s.askedAt < askAfterMillis {
		return
	}
	s.askedAt = now
	s.askPeer(first - 1)
}
