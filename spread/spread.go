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
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// note is a message between spreaders: a question, or an answer to one.
type note struct {
	// Want is the version after which the sender misses changes.
	Want int64 `cbor:"1,keyasint,omitempty"`
	// Question says that Want asks for changes.
	Question bool `cbor:"2,keyasint,omitempty"`
	// Changes holds encoded changes in the order of their versions.
	Changes [][]byte `cbor:"3,keyasint,omitempty"`
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

type incoming struct {
	from string
	body []byte
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
	return c, s.gossip.Settled()
}

// cutOff tells whether neither the table nor a peer was heard for too long.
func (s *Spreader) cutOff() bool {
	heard := max(s.heardAt.Load(), s.gossip.LastHeardMillis())
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

// askPeer asks some other node for the changes after the version.
func (s *Spreader) askPeer(after int64) {
	var others []string
	for _, m := range s.gossip.Members() {
		if m.ID != s.self && !m.Suspect {
			others = append(others, m.ID)
		}
	}
	if len(others) == 0 {
		return
	}
	s.post(others[rand.IntN(len(others))], note{Want: after, Question: true})
}

func (s *Spreader) post(to string, n note) {
	body, err := cbor.Marshal(n)
	if err != nil {
		panic("spread: a note has no CBOR form: " + err.Error())
	}
	s.send(to, Kind, body)
}

// Receive takes a message of another spreader.
func (s *Spreader) Receive(from string, body []byte) {
	s.notes.Put(incoming{from, body})
}

// RunNotes answers peers' questions and takes their answers until the context
// ends.
func (s *Spreader) RunNotes(ctx context.Context) {
	for {
		in, ok := s.notes.Take(ctx)
		if !ok {
			return
		}
		var n note
		if err := cbor.Unmarshal(in.body, &n); err != nil {
			s.log.Warn("config: a peer sent a malformed note", "Error", err)
			continue
		}
		if n.Question {
			s.answer(in.from, n.Want)
		}
		for _, encoded := range n.Changes {
			s.offerEncoded(encoded)
		}
	}
}

// answer sends the changes after the version, or the whole configuration when
// they are too many or no longer kept.
func (s *Spreader) answer(to string, after int64) {
	current := s.store.Current().Version()
	if current <= after {
		return
	}
	changes := make([]change.Change, 0, changesMost)
	for v := after + 1; v <= current; v++ {
		c, ok := s.store.Change(v)
		if !ok || len(changes) == changesMost {
			changes = []change.Change{s.store.Whole()}
			break
		}
		changes = append(changes, c)
	}
	var n note
	for _, c := range changes {
		encoded, err := c.Encode()
		if err != nil {
			panic("spread: a change has no CBOR form: " + err.Error())
		}
		n.Changes = append(n.Changes, encoded)
	}
	s.post(to, n)
}

// RunPolls reads the version in the table now and then, until the context
// ends.
func (s *Spreader) RunPolls(ctx context.Context) {
	s.poll(ctx)
	t := time.NewTicker(pollMillis * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.drawPoll() {
				s.poll(ctx)
			}
		}
	}
}

// drawPoll tells whether this node reads the table now. A node that hears
// from no peer reads it each time. One that misses a change asks peers: if all
// of them read the table then, it would be thousands at once.
func (s *Spreader) drawPoll() bool {
	if s.clock.Since(s.gossip.LastHeardMillis()) > staleMillis/2 {
		return true
	}
	part := float64(pollsPerSecond) * pollMillis / 1000 / float64(len(s.gossip.Members()))
	return rand.Float64() < part
}

// poll reads the version, and the files if it's new, and spreads the news.
func (s *Spreader) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readMillis*time.Millisecond)
	defer cancel()
	s.polls.Inc(1)
	version, err := s.table.Version(ctx)
	if err != nil {
		s.failed.Inc(1)
		return
	}
	s.heardAt.Store(s.clock.Now())
	if version <= s.store.Current().Version() {
		return
	}
	if !s.readChanges(ctx, version) {
		s.readWhole(ctx)
	}
	// Also when nothing could be read, the others learn that there is more.
	s.store.Learn(version)
	s.gossip.Publish(versionKey, version, nil)
}

// readChanges reads the changes up to the version one by one and spreads them,
// and tells whether the version came into force that way.
func (s *Spreader) readChanges(ctx context.Context, version int64) bool {
	first := s.store.Current().Version() + 1
	if first == 1 || version-first >= changesMost {
		return false
	}
	for v := first; v <= version; v++ {
		c, ok, err := s.table.Change(ctx, v)
		if err != nil || !ok {
			return false
		}
		encoded, err := c.Encode()
		if err != nil {
			panic("spread: a change has no CBOR form: " + err.Error())
		}
		s.gossip.PublishFor(changeKeys+strconv.FormatInt(v, 10), v, encoded, changeLifeMillis)
		s.offer(c)
	}
	return s.store.Current().Version() >= version
}

// readWhole reads the whole configuration, after a start or a long gap.
func (s *Spreader) readWhole(ctx context.Context) {
	whole, err := s.table.Whole(ctx)
	if err != nil {
		s.failed.Inc(1)
		return
	}
	s.offer(whole)
}
