// Package spread distributes the configuration to the nodes, and puts each accepted
// version in force at its node. It gets configurations from the platform's table,
// from facts sent by other nodes, and by requesting missed changes from a peer.
//
// The table is the source of truth, but changes are distributed as facts. All nodes
// together read the accepted version about pollsPerSecond times a second: each node
// polls at random, less often the more nodes there are, so that no leader is
// needed. A node that sees a new version reads the files and publishes the change
// as a fact.
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

// Kind is the kind of the control messages between Spreaders.
const Kind = "Config"

const (
	// versionKey is the key of the fact with the latest accepted version.
	versionKey      = "version"
	changeKeyPrefix = "config/"
	// changeLifetimeMillis is how long a change is kept as a fact. A node that
	// joins later requests it from a peer.
	changeLifetimeMillis = 600_000

	pollIntervalMillis = 500
	pollsPerSecond     = 24
	readTimeoutMillis  = 2000
	queueMessages      = 64

	// requestDelayMillis is how long a node waits for a missing change to arrive
	// as a fact before it requests the change from a peer.
	requestDelayMillis = 400
	// staleMillis is how long a node continues to serve while it misses an
	// accepted change, or gets responses from neither the table nor any peer.
	staleMillis = 3000
	// pauseMillis is the time without a tick after which the process is assumed
	// to have been paused.
	pauseMillis = 1000
	// maxChanges is the max number of changes in one response; if more are
	// missing, the whole configuration is sent.
	maxChanges = 16
)

// configTable reads the configuration from the table.
type configTable interface {
	// Version returns the latest accepted version, or 0 if there is none yet.
	Version(ctx context.Context) (int64, error)
	// Change returns one accepted change, or false if it isn't kept.
	Change(ctx context.Context, version int64) (change.Change, bool, error)
	// Whole returns the latest accepted configuration with all its files.
	Whole(ctx context.Context) (change.Change, error)
}

// Spreader keeps one node's configuration up to date.
type Spreader struct {
	clock  clock.Clock
	table  configTable
	store  *inforc.Store
	gossip *gossip.Gossip
	send   func(to, kind string, body []byte)
	self   string
	log    *slog.Logger

	tableReadAt  atomic.Int64
	tickedAt     atomic.Int64
	missingSince atomic.Int64
	requestedAt  int64
	incoming     *ring.Ring[received]
	tableReads   metrics.Counter
	failedReads  metrics.Counter
}

// New returns the Spreader of the node self. Send queues a message to a peer.
func New(c clock.Clock, self string, table configTable, store *inforc.Store, g *gossip.Gossip,
	send func(to, kind string, body []byte), registry metrics.Registry, log *slog.Logger,
) *Spreader {
	s := &Spreader{
		clock:       c,
		table:       table,
		store:       store,
		gossip:      g,
		send:        send,
		self:        self,
		log:         log,
		incoming:    ring.New[received](queueMessages),
		tableReads:  metrics.GetOrRegisterCounter("Config.TableReads", registry),
		failedReads: metrics.GetOrRegisterCounter("Config.TableReadsFailed", registry),
	}
	s.tickedAt.Store(c.Now())
	return s
}

// InForce returns the configuration in force, and whether the node may serve with
// it. It returns false while there is none, while the node has been isolated or has
// missed an accepted change for more than staleMillis (3 s), and after a pause until the node is
// synced.
func (s *Spreader) InForce() (*config.Config, bool) {
	c := s.store.Current()
	if c.Version() == 0 || s.isIsolated() || s.isPaused() {
		return c, false
	}
	since := s.missingSince.Load()
	if since != 0 && s.clock.Since(since) > staleMillis {
		return c, false
	}
	return c, s.gossip.Synced()
}

// isIsolated reports whether neither the table nor a peer responded for more than
// staleMillis.
func (s *Spreader) isIsolated() bool {
	lastContact := max(s.tableReadAt.Load(), s.gossip.LastSeenMillis())
	return s.clock.Since(lastContact) > staleMillis
}

// isPaused reports whether the process was paused and hasn't ticked since.
func (s *Spreader) isPaused() bool {
	return s.clock.Since(s.tickedAt.Load()) > pauseMillis
}

// OnFact takes a fact from the gossip protocol.
func (s *Spreader) OnFact(key string, version int64, value []byte) {
	if key == versionKey {
		s.store.Learn(version)
		return
	}
	if len(key) <= len(changeKeyPrefix) || key[:len(changeKeyPrefix)] != changeKeyPrefix {
		return
	}
	s.applyEncoded(value)
}

func (s *Spreader) applyEncoded(encoded []byte) {
	c, err := change.Decode(encoded)
	if err != nil {
		s.log.Warn("config: a peer sent a malformed change", "Error", err)
		return
	}
	s.apply(c)
}

func (s *Spreader) apply(c change.Change) {
	previous := s.store.Current().Version()
	if err := s.store.Offer(c); err != nil {
		s.log.Error("config: loading an accepted change failed", "Version", c.Version, "Error", err)
		return
	}
	if after := s.store.Current().Version(); after > previous {
		s.log.Info("config: new version in force", "Version", after)
	}
}

// Tick requests missing changes from a peer. It's called about every 100 ms.
func (s *Spreader) Tick() {
	now := s.clock.Now()
	s.tickedAt.Store(now)
	first, _, ok := s.store.Missing()
	if !ok && s.store.Current().Version() > 0 {
		s.missingSince.Store(0)
		return
	}
	s.missingSince.CompareAndSwap(0, now)
	if now-s.missingSince.Load() < requestDelayMillis || now-s.requestedAt < requestDelayMillis {
		return
	}
	s.requestedAt = now
	s.requestFromPeer(first - 1)
}
