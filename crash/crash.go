// Package crash finds the requests that crash the targets which run them, and
// has all nodes refuse them for a while.
//
// When a target dies, its node reports the fingerprints of requests that were
// lost with it to all nodes, as one crash. When the node dies too, the nodes
// that had sent requests to it report the crash once the node is confirmed
// dead. A request that was lost in blockingCrashes crashes is refused for
// BlockMillis. Requests that only happened to run during one crash rarely run
// during the next. A request is harmless once a run of it has ended well: the node
// that has read the whole response reports that, and all nodes drop the crashes
// recorded for the request.
//
// Reports are facts that expire. They're also kept as rows in the store, for nodes
// that start later, and each node tells on its card which requests it refuses.
package crash

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
)

const (
	// BlockMillis is how long a request that crashed its targets is refused, and
	// how long a single crash is kept.
	BlockMillis = 120_000
	// blockingCrashes is in how many crashes a request must have been lost to be
	// refused.
	blockingCrashes = 2
	// maxFingerprints bounds how many requests one crash makes suspect.
	maxFingerprints = 1024
	// peerConfirmMillis is the maximum time between the first request lost at a
	// peer and the confirmation that the peer is dead.
	peerConfirmMillis = 15_000

	// maxCardBlocks bounds how many refused requests a card names, and
	// maxFactFingerprints how many suspects of one crash, as cards are sent many
	// times a second.
	maxCardBlocks       = 32
	maxFactFingerprints = 128

	crashKeyPrefix    = "crash/"
	harmlessKeyPrefix = "harmless/"
)

// Suspects holds the crash suspects that one node knows. It's safe for
// concurrent use.
type Suspects struct {
	clock   clock.Clock
	self    string
	log     *slog.Logger
	publish func(key string, version int64, value []byte, ttlMillis int64)
	// keep stores a row that outlasts all nodes, if there is a store for it.
	keep func(key string, value []byte)

	// hasSuspects is read without the lock.
	hasSuspects atomic.Bool
	mutex       sync.Mutex
	// crashCount numbers the crashes of the node's own target.
	crashCount int64
	crashes    map[string]crashTimes
	// blocked holds the requests that a peer refuses, by fingerprint. They're kept
	// for BlockMillis after their end, so that the cards of slower peers don't
	// bring them back.
	blocked map[string]block
	// harmlessAt holds when requests were last found harmless.
	harmlessAt map[string]int64
	lost       map[string]*lostRequests
}

// block is a request that a peer refuses.
type block struct {
	until int64
	learned
}

// row is a report of a crash as it's kept in the store.
type row struct {
	Crash        string
	Fingerprints []string
	// AtMillis is when the crash was reported, by the reporter's wall clock.
	AtMillis int64
}

// crashTimes holds when and from whom this node learned of each crash of one
// fingerprint, by the ID of the crash.
type crashTimes map[string]learned

// learned is when a node learned something, and from which node.
type learned struct {
	at   int64
	from string
}

// lostRequests are the requests that were lost at one peer, which may be dead.
type lostRequests struct {
	firstAt      int64
	fingerprints []string
}

// maxLostPeers bounds for how many peers lost requests are kept.
const maxLostPeers = 256

// report is the value of a fact about a crash.
type report struct {
	// Crash is the ID of the crash, the same in the reports of several nodes.
	Crash        string   `cbor:"1,keyasint"`
	Fingerprints []string `cbor:"2,keyasint"`
	// AgeMillis is how long before the report the crash happened.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
}

// New returns an empty set of suspects. Self identifies the node by its address
// and incarnation, separated by a slash. Publish sends a fact to all nodes for
// ttlMillis milliseconds. Keep stores a row, which OnRow takes in at other nodes and
// after a restart.
func New(c clock.Clock, self string, log *slog.Logger, publish func(key string, version int64, value []byte, ttlMillis int64), keep func(key string, value []byte)) *Suspects {
	return &Suspects{
		clock:      c,
		self:       self,
		log:        log,
		publish:    publish,
		keep:       keep,
		crashes:    make(map[string]crashTimes),
		blocked:    make(map[string]block),
		harmlessAt: make(map[string]int64),
		lost:       make(map[string]*lostRequests),
	}
}

// ReportCrash reports a crash of the node's own target to all nodes, with the
// fingerprints of requests that were lost in it.
func (s *Suspects) ReportCrash(fingerprints []string) {
	s.mutex.Lock()
	s.crashCount++
	id := s.self + "/" + strconv.FormatInt(s.crashCount, 10)
	s.mutex.Unlock()
	s.publishCrash(id, fingerprints)
}

// TargetID returns the ID of a crash of the target that started at startMillis
// beside this node. It's the same at all nodes that lost requests in the crash.
func TargetID(node string, startMillis int64) string {
	return node + "/" + strconv.FormatInt(startMillis, 10)
}

// ReportTargetCrash reports a crash with this ID to all nodes, with the fingerprints
// of requests that were lost in it, those that most likely caused it first.
func (s *Suspects) ReportTargetCrash(id string, fingerprints []string) {
	s.publishCrash(id, fingerprints)
}

// RequestLost records a request that was lost at a peer, an address with its
// incarnation, or beside it, as TargetID names it. The request counts as lost in a
// crash if the peer is confirmed dead.
func (s *Suspects) RequestLost(peer, fingerprint string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	for p, l := range s.lost {
		if now-l.firstAt > peerConfirmMillis {
			delete(s.lost, p)
		}
	}
	l, ok := s.lost[peer]
	if !ok && len(s.lost) >= maxLostPeers || fingerprint == "" {
		return
	}
	if !ok {
		l = &lostRequests{firstAt: now}
		s.lost[peer] = l
	}
	if len(l.fingerprints) < maxFingerprints {
		l.fingerprints = append(l.fingerprints, fingerprint)
	}
}

// PeerDead reports the requests that were lost at a peer as lost in one crash, as
// the peer is confirmed dead.
func (s *Suspects) PeerDead(peer string) {
	s.mutex.Lock()
	l, ok := s.lost[peer]
	delete(s.lost, peer)
	s.mutex.Unlock()
	if ok && s.clock.Since(l.firstAt) <= peerConfirmMillis {
		s.publishCrash(peer, l.fingerprints)
	}
}

// publishCrash records a crash and publishes it to all nodes. Empty
// fingerprints are left out.
func (s *Suspects) publishCrash(id string, fingerprints []string) {
	r := report{Crash: id}
	for _, f := range fingerprints {
		if f != "" && len(r.Fingerprints) < maxFingerprints {
			r.Fingerprints = append(r.Fingerprints, f)
		}
	}
	if len(r.Fingerprints) == 0 {
		return
	}
	now := s.clock.Now()
	s.record(r, s.self, now)
	s.keep(rowKey(id, s.self), encodeRow(row{r.Crash, r.Fingerprints, now}))
	s.publishReport(r)
}

// publishReport publishes a report to all nodes.
func (s *Suspects) publishReport(r report) {
	r.Fingerprints = r.Fingerprints[:min(len(r.Fingerprints), maxFactFingerprints)]
	value, err := cbor.Marshal(r)
	if err != nil {
		panic("crash: encoding a report: " + err.Error())
	}
	s.publish(crashKeyPrefix+s.self+"/"+r.Crash, s.clock.Now(), value, BlockMillis)
}

// rowKey returns the key of the row in which a node keeps its report of a crash. IDs
// may be longer than a key.
func rowKey(id, reporter string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(id+"\x00"+reporter))
}

// encodeRow returns the JSON of a row, which can't fail for its types.
func encodeRow(r row) []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic("crash: encoding a row: " + err.Error())
	}
	return value
}

// OnRow takes in a row that any node has kept. If tell is true and the crash isn't
// known yet, it's reported to all nodes: they may not have read the row. OnRow returns
// an error if the row is malformed; such a row is ignored.
func (s *Suspects) OnRow(key string, value []byte, tell bool) error {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrap(err, "crash: row "+key)
	}
	if r.Crash == "" || len(r.Fingerprints) > maxFingerprints {
		return errors.Errorf("crash: row %s: it has no crash or too many fingerprints", key)
	}
	now := s.clock.Now()
	at := min(r.AtMillis, now)
	if now-at >= BlockMillis {
		return nil
	}
	report := report{r.Crash, r.Fingerprints, now - at}
	if s.record(report, "the store", at) && tell {
		s.publishReport(report)
	}
	return nil
}

// MissingRows returns rows, by key, of the crashes that this node knows and that none
// of the given rows reports.
func (s *Suspects) MissingRows(values [][]byte) map[string][]byte {
	present := make(map[string]bool)
	for _, v := range values {
		var r row
		if json.Unmarshal(v, &r) == nil {
			present[r.Crash] = true
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removeExpired(s.clock.Now())
	missing := make(map[string]row)
	for f, times := range s.crashes {
		for id, l := range times {
			if present[id] {
				continue
			}
			r := missing[id]
			missing[id] = row{id, append(r.Fingerprints, f), l.at}
		}
	}
	encoded := make(map[string][]byte, len(missing))
	for id, r := range missing {
		encoded[rowKey(id, s.self)] = encodeRow(r)
	}
	return encoded
}

// IsExpired reports whether a row isn't needed any more.
func (s *Suspects) IsExpired(value []byte) bool {
	var r row
	return json.Unmarshal(value, &r) == nil && r.AtMillis > 0 && s.clock.Now()-r.AtMillis > 2*BlockMillis
}

// Describe adds the requests that this node refuses to its card.
func (s *Suspects) Describe(c card.Card) card.Card {
	if !s.hasSuspects.Load() {
		return c
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	for _, f := range s.refused(now) {
		if len(c.Refused) >= maxCardBlocks {
			break
		}
		if c.Refused == nil {
			c.Refused = make(map[string]int64)
		}
		c.Refused[f], _ = s.remaining(f, now)
	}
	return c
}

// Learn takes in the requests that a peer refuses from its card. A node that was
// restarted or cut off doesn't know the crashes.
func (s *Suspects) Learn(c card.Card) {
	if len(c.Refused) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.removeExpired(now)
	for f, leftMillis := range c.Refused {
		_, known := s.blocked[f]
		_, refused := s.remaining(f, now)
		if _, harmless := s.harmlessAt[f]; known || refused || harmless || leftMillis <= 0 {
			continue
		}
		s.blocked[f] = block{now + min(leftMillis, BlockMillis), learned{now, c.Peers}}
		s.log.Warn("crash: a request is refused from now on", "Fingerprint", f, "Crashes", s.describe(f, now))
	}
	s.hasSuspects.Store(len(s.crashes) > 0 || len(s.blocked) > 0)
}

// OnFact applies a fact that any node published. Facts of other packages are
// ignored.
func (s *Suspects) OnFact(key string, value []byte) {
	switch {
	case strings.HasPrefix(key, crashKeyPrefix):
		var r report
		if cbor.Unmarshal(value, &r) != nil || len(r.Fingerprints) > maxFingerprints {
			return
		}
		s.record(r, strings.TrimSuffix(strings.TrimPrefix(key, crashKeyPrefix), "/"+r.Crash), s.clock.Now()-max(r.AgeMillis, 0))
	case strings.HasPrefix(key, harmlessKeyPrefix):
		s.removeCrashes(strings.TrimPrefix(key, harmlessKeyPrefix), "a peer")
	}
}

// record takes in the report from a node of a crash that happened at a moment of
// this node's clock, and reports whether anything of it is new. Requests that were
// found harmless since are left out.
func (s *Suspects) record(r report, from string, at int64) (recorded bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.removeExpired(now)
	for _, f := range r.Fingerprints {
		if harmlessAt, ok := s.harmlessAt[f]; ok && at <= harmlessAt {
			continue
		}
		times, ok := s.crashes[f]
		if !ok {
			times = make(crashTimes)
			s.crashes[f] = times
		}
		if _, ok := times[r.Crash]; ok {
			continue
		}
		recorded = true
		_, wasRefused := s.remaining(f, now)
		times[r.Crash] = learned{at, from}
		if _, refused := s.remaining(f, now); refused && !wasRefused {
			s.log.Warn("crash: a request is refused from now on", "Fingerprint", f, "Crashes", s.describe(f, now))
		}
	}
	if recorded {
		s.log.Info("crash: a target died", "Crash", r.Crash, "Suspects", len(r.Fingerprints), "From", from, "AgeMillis", now-at)
	}
	s.hasSuspects.Store(len(s.crashes) > 0 || len(s.blocked) > 0)
	return recorded
}

// removeCrashes removes the crashes of a request that got a response, as that node
// tells, and reports whether there were any.
func (s *Suspects) removeCrashes(fingerprint, from string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	crashes := s.describe(fingerprint, now)
	if len(crashes) == 0 {
		return false
	}
	delete(s.crashes, fingerprint)
	delete(s.blocked, fingerprint)
	s.harmlessAt[fingerprint] = now
	s.log.Info("crash: a request is harmless", "Fingerprint", fingerprint, "Crashes", crashes, "From", from)
	return true
}

// removeExpired removes what is older than BlockMillis.
func (s *Suspects) removeExpired(now int64) {
	for f, times := range s.crashes {
		for id, l := range times {
			if now-l.at >= BlockMillis {
				delete(times, id)
			}
		}
		if len(times) == 0 {
			delete(s.crashes, f)
		}
	}
	maps.DeleteFunc(s.blocked, func(_ string, b block) bool { return now >= b.until+BlockMillis })
	maps.DeleteFunc(s.harmlessAt, func(_ string, at int64) bool { return now-at >= BlockMillis })
	s.hasSuspects.Store(len(s.crashes) > 0 || len(s.blocked) > 0)
}

// ResponseReceived records that a target responded to the request. If the
// request was suspect, a fact that it's harmless is published to all nodes.
func (s *Suspects) ResponseReceived(fingerprint string) {
	if s.hasSuspects.Load() && s.removeCrashes(fingerprint, s.self) {
		s.publish(harmlessKeyPrefix+fingerprint, s.clock.Now(), nil, BlockMillis)
	}
}

// Refuses reports whether the request is refused at present, and in how many
// milliseconds that ends.
func (s *Suspects) Refuses(fingerprint string) (leftMillis int64, refused bool) {
	if !s.hasSuspects.Load() {
		return 0, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.remaining(fingerprint, s.clock.Now())
}

// remaining reports whether a request is refused, by the crashes that this node
// knows or as a peer refuses it, and in how many milliseconds that ends.
func (s *Suspects) remaining(fingerprint string, now int64) (leftMillis int64, refused bool) {
	leftMillis, refused = s.crashes[fingerprint].remaining(now)
	if b, ok := s.blocked[fingerprint]; ok && now < b.until {
		return max(leftMillis, b.until-now), true
	}
	return leftMillis, refused
}

// refused returns the fingerprints of all refused requests. The mutex must be held.
func (s *Suspects) refused(now int64) []string {
	var all []string
	for f := range s.crashes {
		if _, ok := s.remaining(f, now); ok {
			all = append(all, f)
		}
	}
	for f := range s.blocked {
		if _, ok := s.remaining(f, now); ok && s.crashes[f] == nil {
			all = append(all, f)
		}
	}
	slices.Sort(all)
	return all
}

// remaining reports whether there are enough recent crashes for a refusal, and
// in how many milliseconds the oldest of them expires.
func (t crashTimes) remaining(now int64) (leftMillis int64, refused bool) {
	recent := 0
	oldest := now
	for _, l := range t {
		if now-l.at < BlockMillis {
			recent++
			oldest = min(oldest, l.at)
		}
	}
	if recent < blockingCrashes {
		return 0, false
	}
	return oldest + BlockMillis - now, true
}

// describe returns the crashes for logs, with their ages and with the nodes that
// reported them.
func (t crashTimes) describe(now int64) []string {
	var texts []string
	for _, id := range slices.Sorted(maps.Keys(t)) {
		texts = append(texts, fmt.Sprintf("%s, %d ms ago, from %s", id, now-t[id].at, t[id].from))
	}
	return texts
}

// describe returns for logs why a request is suspect. The mutex must be held.
func (s *Suspects) describe(fingerprint string, now int64) []string {
	texts := s.crashes[fingerprint].describe(now)
	if b, ok := s.blocked[fingerprint]; ok && now < b.until {
		texts = append(texts, fmt.Sprintf("refused by %s, known for %d ms", b.from, now-b.at))
	}
	return texts
}

// Crashes returns for logs why a request is suspect: its crashes with their ages and
// reporters, and the peer that refuses it.
func (s *Suspects) Crashes(fingerprint string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.describe(fingerprint, s.clock.Now())
}

// Refused returns the fingerprints of the requests that are refused at present, and
// how many others are suspect.
func (s *Suspects) Refused() (refused []string, suspects int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.removeExpired(now)
	refused = s.refused(now)
	for f := range s.crashes {
		if _, ok := s.remaining(f, now); !ok {
			suspects++
		}
	}
	return refused, suspects
}
