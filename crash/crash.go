// Package crash finds the requests that crash the targets which run them, and
// has all nodes refuse them for a while.
//
// When a target dies, its node reports the fingerprints of requests that were
// lost with it to all nodes, as one crash. When the node dies too, the nodes
// that had sent requests to it report the crash once the node is confirmed
// dead. A request that was lost in blockingCrashes crashes is refused for
// BlockMillis. Requests that only happened to run during one crash rarely run
// during the next. A request that gets a response from any target is harmless:
// the first node that receives the response reports that, and all nodes drop
// the crashes recorded for the request.
//
// Reports are facts that expire, so nothing has to be cleaned up.
package crash

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

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

	// hasSuspects is read without the lock.
	hasSuspects atomic.Bool
	mutex       sync.Mutex
	// crashCount numbers the crashes of the node's own target.
	crashCount int64
	crashes    map[string]crashTimes
	lost       map[string]*lostRequests
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
}

// New returns an empty set of suspects. Self identifies the node by its address
// and incarnation, separated by a slash. Publish sends a fact to all nodes for
// ttlMillis milliseconds.
func New(c clock.Clock, self string, log *slog.Logger, publish func(key string, version int64, value []byte, ttlMillis int64)) *Suspects {
	return &Suspects{
		clock:   c,
		self:    self,
		log:     log,
		publish: publish,
		crashes: make(map[string]crashTimes),
		lost:    make(map[string]*lostRequests),
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
	value, err := cbor.Marshal(r)
	if err != nil {
		panic("crash: encoding a report: " + err.Error())
	}
	s.record(r, s.self)
	s.publish(crashKeyPrefix+s.self+"/"+id, s.clock.Now(), value, BlockMillis)
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
		s.record(r, strings.TrimSuffix(strings.TrimPrefix(key, crashKeyPrefix), "/"+r.Crash))
	case strings.HasPrefix(key, harmlessKeyPrefix):
		s.removeCrashes(strings.TrimPrefix(key, harmlessKeyPrefix), "a peer")
	}
}

// record takes in the report of a crash from a node.
func (s *Suspects) record(r report, from string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.removeExpired(now)
	s.log.Info("crash: a target died", "Crash", r.Crash, "Suspects", len(r.Fingerprints), "From", from)
	for _, f := range r.Fingerprints {
		times, ok := s.crashes[f]
		if !ok {
			times = make(crashTimes)
			s.crashes[f] = times
		}
		if _, recorded := times[r.Crash]; recorded {
			continue
		}
		_, wasRefused := times.remaining(now)
		times[r.Crash] = learned{now, from}
		if _, refused := times.remaining(now); refused && !wasRefused {
			s.log.Warn("crash: a request is refused from now on", "Fingerprint", f, "Crashes", times.describe(now))
		}
	}
	s.hasSuspects.Store(true)
}

// removeCrashes removes the crashes of a request that got a response, as that node
// tells, and reports whether there were any.
func (s *Suspects) removeCrashes(fingerprint, from string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	times, ok := s.crashes[fingerprint]
	delete(s.crashes, fingerprint)
	if now := s.clock.Now(); ok && len(times) > 0 {
		s.log.Info("crash: a request is harmless", "Fingerprint", fingerprint, "Crashes", times.describe(now), "From", from)
	}
	return ok
}

// removeExpired removes crashes that are older than BlockMillis.
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
	s.hasSuspects.Store(len(s.crashes) > 0)
}

// ResponseReceived records that a target responded to the request. If the
// request was suspect, a fact that it's harmless is published to all nodes.
func (s *Suspects) ResponseReceived(fingerprint string) {
	if s.hasSuspects.Load() && s.removeCrashes(fingerprint, s.self) {
		s.publish(harmlessKeyPrefix+fingerprint, s.clock.Now(), nil, BlockMillis)
	}
}

// Refuses reports whether the request is refused at present, and in how many
// milliseconds the oldest of its crashes expires.
func (s *Suspects) Refuses(fingerprint string) (leftMillis int64, refused bool) {
	if !s.hasSuspects.Load() {
		return 0, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashes[fingerprint].remaining(s.clock.Now())
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

// Describe returns the crashes of a request for logs, with their ages and with the
// nodes that reported them.
func (s *Suspects) Describe(fingerprint string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashes[fingerprint].describe(s.clock.Now())
}

// Refused returns the fingerprints of the requests that are refused at present, and
// how many others are suspect.
func (s *Suspects) Refused() (refused []string, suspects int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	s.removeExpired(now)
	for _, f := range slices.Sorted(maps.Keys(s.crashes)) {
		if _, ok := s.crashes[f].remaining(now); ok {
			refused = append(refused, f)
		}
	}
	return refused, len(s.crashes) - len(refused)
}
