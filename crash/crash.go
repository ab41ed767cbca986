// Package crash knows the requests that crashed the targets which ran them,
// and has them refused for a while, everywhere.
//
// When a target dies, its node tells all nodes the fingerprints of the
// requests that were running: one crash. When the node dies with it, those who
// had sent requests there tell so, once it's proved dead. A request that was
// running in crashesMost crashes is refused for BlockMillis. Bystanders of one
// crash are rarely bystanders of the next, and one that is answered anywhere
// proves itself harmless: the first node to see that tells so, and its crashes
// so far are forgotten.
//
// What nodes tell one another are facts with a lifetime, so nothing has to be
// cleaned up.
package crash

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"bergamotloom.example/clock"
)

const (
	// BlockMillis is how long a request that crashed its targets is refused,
	// and how long a single crash is remembered.
	BlockMillis = 120_000
	// crashesMost is how many targets a request may crash.
	crashesMost = 2
	// fingerprintsMost bounds how many requests one crash marks.
	fingerprintsMost = 1024
	// proofMillis is how soon after a loss the peer must be proved dead.
	proofMillis = 5000

	crashKeys    = "crash/"
	harmlessKeys = "harmless/"
)

// Suspects is what one node knows of crashes. It's safe for many goroutines.
type Suspects struct {
	clock   clock.Clock
	self    string
	publish func(key string, version int64, value []byte, ttlMillis int64)

	// any tells without the lock that there are marks at all.
	any     atomic.Bool
	mutex   sync.Mutex
	count   int64
	suspect map[string]mark
	lost    map[string]*losses
}

// mark holds when each crash of one fingerprint was heard of, by its name.
type mark map[string]int64

// losses are the requests that were lost with one peer, which may be dead.
type losses struct {
	at           int64
	fingerprints []string
}

// report is what nodes tell one another of a crash.
type report struct {
	// Crash names the crash, the same in the reports of several nodes.
	Crash        string   `cbor:"1,keyasint"`
	Fingerprints []string `cbor:"2,keyasint"`
}

// New returns empty marks of the node self, an address with its incarnation.
// Publish spreads a fact to all nodes for some time.
func New(c clock.Clock, self string, publish func(key string, version int64, value []byte, ttlMillis int64)) *Suspects {
	return &Suspects{
		clock:   c,
		self:    self,
		publish: publish,
		suspect: make(map[string]mark),
		lost:    make(map[string]*losses),
	}
}

// ReportCrash takes a crash of the node's own target with the fingerprints of what
// was running there, and tells all nodes.
func (m *Suspects) ReportCrash(fingerprints []string) {
	m.mutex.Lock()
	m.count++
	name := m.self + "/" + strconv.FormatInt(m.count, 10)
	m.mutex.Unlock()
	m.tell(name, fingerprints)
}

// RequestLost takes note of a request that was lost at a peer, an address with its
// incarnation. It counts as running in a crash if the peer is proved dead.
func (m *Suspects) RequestLost(peer, fingerprint string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	for name, l := range m.lost {
		if now-l.at > proofMillis {
			delete(m.lost, name)
		}
	}
	l, ok := m.lost[peer]
	if !ok {
		l = &losses{at: now}
		m.lost[peer] = l
	}
	l.fingerprints = append(l.fingerprints, fingerprint)
}

// PeerDead takes the proof that a peer is dead.
func (m *Suspects) PeerDead(peer string) {
	m.mutex.Lock()
	l, ok := m.lost[peer]
	delete(m.lost, peer)
	m.mutex.Unlock()
	if ok && m.clock.Since(l.at) <= proofMillis {
		m.tell(peer, l.fingerprints)
	}
}

// tell spreads a crash. Empty fingerprints are left out.
func (m *Suspects) tell(name string, fingerprints []string) {
	r := report{Crash: name}
	for _, f := range fingerprints {
		if f != "" && len(r.Fingerprints) < fingerprintsMost {
			r.Fingerprints = append(r.Fingerprints, f)
		}
	}
	if len(r.Fingerprints) == 0 {
		return
	}
	value, err := cbor.Marshal(r)
	if err != nil {
		panic("crash: a report has no CBOR form: " + err.Error())
	}
	m.note(r)
	m.publish(crashKeys+m.self+"/"+name, m.clock.Now(), value, BlockMillis)
}

// OnFact takes a fact that came from any node. Others than those of this
// package are left alone.
func (m *Suspects) OnFact(key string, value []byte) {
	switch {
	case strings.HasPrefix(key, crashKeys):
		var r report
		if cbor.Unmarshal(value, &r) != nil || len(r.Fingerprints) > fingerprintsMost {
			return
		}
		m.note(r)
	case strings.HasPrefix(key, harmlessKeys):
		m.clear(strings.TrimPrefix(key, harmlessKeys))
	}
}

func (m *Suspects) note(r report) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.clock.Now()
	m.sweep(now)
	for _, f := range r.Fingerprints {
		k, ok := m.suspect[f]
		if !ok {
			k = make(mark)
			m.suspect[f] = k
		}
		if _, known := k[r.Crash]; !known {
			k[r.Crash] = now
		}
	}
	m.any.Store(true)
}

// clear forgets the crashes of a request that was answered, and tells whether
// there were any.
func (m *Suspects) clear(fingerprint string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, ok := m.suspect[fingerprint]
	delete(m.suspect, fingerprint)
	return ok
}

// sweep forgets what is over.
func (m *Suspects) sweep(now int64) {
	for f, k := range m.suspect {
		for name, at := range k {
			if now-at >= BlockMillis {
				delete(k, name)
			}
		}
		if len(k) == 0 {
			delete(m.suspect, f)
		}
	}
	m.any.Store(len(m.suspect) > 0)
}

// ResponseReceived takes note that the request was answered by a target. If it was
// suspected, all nodes are told that it's harmless.
func (m *Suspects) ResponseReceived(fingerprint string) {
	if m.any.Load() && m.clear(fingerprint) {
		m.publish(harmlessKeys+fingerprint, m.clock.Now(), nil, BlockMillis)
	}
}

// Refuses tells whether the request is refused at present, and for how many
// milliseconds more.
func (m *Suspects) Refuses(fingerprint string) (leftMillis int64, refused bool) {
	if !m.any.Load() {
		return 0, false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.suspect[fingerprint].left(m.clock.Now())
}

// left returns how long crashesMost crashes will still be remembered.
func (k mark) left(now int64) (leftMillis int64, refused bool) {
	recent := 0
	oldest := now
	for _, at := range k {
		if now-at < BlockMillis {
			recent++
			oldest = min(oldest, at)
		}
	}
	if recent < crashesMost {
		return 0, false
	}
	return oldest + BlockMillis - now, true
}
