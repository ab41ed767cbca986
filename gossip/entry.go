package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bergamotloom.example/digest"
	"bergamotloom.example/member"
)

const (
	// rememberMillis is how long a suspect or dead member is remembered. It's
	// longer than regions are expected to lose each other.
	rememberMillis = 2 * 60 * 60 * 1000
	// freshMillis is the age up to which a suspicion is believed at once. It's
	// longer than one takes to reach all nodes.
	freshMillis = 2 * 1000
	// fadeMillis is how long before its end an entry isn't taught to nodes
	// that don't know it, so that it ends everywhere.
	fadeMillis = 2 * 1000

	// maxLeftMillis bounds the time to live of a fact.
	maxLeftMillis = 24 * 60 * 60 * 1000
	// maxNumber bounds incarnations and serial numbers, so that the next one
	// can always be given out.
	maxNumber = 1 << 60

	// recentMillis is how long an entry counts as recent.
	recentMillis = 5 * 1000
	// seenMillis is how long the hash of a superseded version is known, so
	// that it isn't asked for again.
	seenMillis  = 30 * 1000
	sweepMillis = 1000

	maxWords = 64 << 10
)

// fact is a value under a key, of which only higher versions are taken.
type fact struct {
	key     string
	version int64
	value   []byte
}

// entry is a member's record or a fact.
type entry struct {
	key  uint64
	mark uint32
	// dropped says that the entry is no longer in the node's state.
	dropped bool
	member  member.Member
	fact    fact
	// pushes counts the rounds in which the entry was pushed.
	pushes int
	// changedAt is when the node learned this version.
	changedAt int64
	// heardAt is when a life sign of the member last came.
	heardAt int64
	// endsAt is when the entry is forgotten; 0 means never.
	endsAt int64
}

func (e *entry) isMember() bool {
	return e.member.ID != ""
}

func (e *entry) expired(now int64) bool {
	return e.endsAt != 0 && now >= e.endsAt
}

// leftMillis returns how long others shall remember the entry, 0 for good. Of
// its own record, a node that was proved dead doesn't know that.
func (e *entry) leftMillis(now int64) int64 {
	switch {
	case e.endsAt != 0:
		return max(e.endsAt-now, 1)
	case isPassing(e.member):
		return rememberMillis
	default:
		return 0
	}
}

// version returns one hash of key and version.
func (e *entry) version() uint64 {
	return versionHash(e.key, e.mark)
}

func versionHash(key uint64, mark uint32) uint64 {
	return key ^ uint64(mark)<<32 ^ uint64(mark)
}

// Keys of facts fall into the first leaves of the digest, those of members
// into the others, so that a walk can look at the facts first.
const (
	factBits   = 3
	factLeaves = digest.LeafCount >> factBits
	lowestKey  = uint64(1) << (64 - factBits)
)

func keyOfMember(id string) uint64 {
	h := xxhash.Sum64String("member " + id)
	if h < lowestKey {
		h |= lowestKey
	}
	return h
}

func keyOfFact(key string) uint64 {
	return xxhash.Sum64String("fact "+key) >> factBits
}

func markOfMember(m member.Member) uint32 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(b[8:], uint64(m.Serial))
	b[16] = flagsOf(m) & (flagSuspect | flagDead)
	return uint32(xxhash.Sum64(b[:]))
}

func markOfFact(f fact) uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(f.version))
	return uint32(xxhash.Sum64(b[:]))
}

// applyMember takes a record from elsewhere if it's newer than the known one,
// and pushes it on if spread says so.
func (g *Gossip) applyMember(m member.Member, leftMillis int64, spread bool) {
	isValid := m.ID != "" && len(m.ID) <= maxIDBytes &&
		m.Incarnation >= 0 && m.Incarnation < maxNumber &&
		m.Serial >= 0 && m.Serial < maxNumber
	if !isValid {
		return
	}
	old, known := g.entries[keyOfMember(m.ID)]
	if known && !m.Newer(old.member) {
		g.remember(versionHash(old.key, markOfMember(m)))
		return
	}
	if !known && isPassing(m) && leftMillis <= fadeMillis {
		return
	}
	if m.ID == g.self && m.Incarnation == g.life && !m.Dead {
		g.refute(m)
		return
	}
	if known && g.settled && isOldDoubt(m, old.member, leftMillis) {
		g.askFirst(m, leftMillis)
		return
	}
	g.storeMember(m, leftMillis, spread)
}

// isOldDoubt tells whether the news is only a suspicion that has been about
// for a while. It comes from behind a cut: on this side of it, the member's
// neighbours have heard it all the time.
func isOldDoubt(m, old member.Member, leftMillis int64) bool {
	isDoubt := m.Suspect && !m.Dead && !isPassing(old) &&
		m.Incarnation == old.Incarnation && m.Serial == old.Serial
	return isDoubt && rememberMillis-leftMillis > freshMillis
}

// refute answers a suspicion, or a record of an earlier process with the same
// start time, with a serial number that only this node gives out.
func (g *Gossip) refute(m member.Member) {
	own := g.entries[keyOfMember(g.self)].member
	g.storeMember(own.WithSerial(m.Serial+1), 0, true)
}

func (g *Gossip) storeMember(m member.Member, leftMillis int64, spread bool) {
	m.Service = g.word(m.Service)
	m.Centre = g.word(m.Centre)
	m.Region = g.word(m.Region)
	e := &entry{key: keyOfMember(m.ID), mark: markOfMember(m), member: m}
	// The node's own record stays, whatever became of it.
	if isPassing(m) && m.ID != g.self {
		e.endsAt = g.clock.Now() + min(max(leftMillis, 1), rememberMillis)
	}
	if old, ok := g.entries[e.key]; ok && old.member.Incarnation == m.Incarnation {
		e.heardAt = old.heardAt
	}
	g.store(e, spread)
	g.place(m)
	if g.OnMember != nil {
		g.outbox = append(g.outbox, func() { g.OnMember(m) })
	}
}

// place keeps the ring to those who are neither suspect nor dead.
func (g *Gossip) place(m member.Member) {
	onRing := g.ring.Contains(m.ID)
	if m.Suspect || m.Dead {
		if onRing {
			g.ring.Remove(m.ID)
			g.isMoved = true
		}
		return
	}
	if !onRing {
		g.ring.Add(m.ID)
		g.isMoved = true
	}
}

func (g *Gossip) applyFact(f fact, leftMillis int64, spread bool) bool {
	key := keyOfFact(f.key)
	now := g.clock.Now()
	old, known := g.entries[key]
	if known && !old.expired(now) && f.version <= old.fact.version {
		g.remember(versionHash(key, markOfFact(f)))
		return false
	}
	e := &entry{key: key, mark: markOfFact(f), fact: f}
	if leftMillis > 0 {
		e.endsAt = now + min(leftMillis, maxLeftMillis)
	}
	g.store(e, spread)
	if g.OnFact != nil {
		g.outbox = append(g.outbox, func() { g.OnFact(f.key, f.version, f.value) })
	}
	return true
}

// store puts an entry in the place of the older version.
func (g *Gossip) store(e *entry, spread bool) {
	e.changedAt = g.clock.Now()
	g.drop(e.key)
	g.entries[e.key] = e
	leaf := digest.LeafOf(e.key)
	g.leaves[leaf] = append(g.leaves[leaf], e)
	g.tree.Toggle(e.key, e.mark)
	g.recent = append(g.recent, e)
	if spread {
		g.fresh = append(g.fresh, e)
	}
}

func (g *Gossip) drop(key uint64) {
	old, ok := g.entries[key]
	if !ok {
		return
	}
	old.dropped = true
	delete(g.entries, key)
	g.tree.Toggle(old.key, old.mark)
	g.remember(old.version())
	leaf := g.leaves[digest.LeafOf(key)]
	for i, e := range leaf {
		if e == old {
			leaf[i] = leaf[len(leaf)-1]
			leaf[len(leaf)-1] = nil
			g.leaves[digest.LeafOf(key)] = leaf[:len(leaf)-1]
			return
		}
	}
}

// remember notes a version that is known to be superseded.
func (g *Gossip) remember(version uint64) {
	g.seen[version] = g.clock.Now()
}

// word returns one shared copy of a string that many records have.
func (g *Gossip) word(s string) string {
	if w, ok := g.words[s]; ok {
		return w
	}
	if len(g.words) < maxWords {
		g.words[s] = s
	}
	return s
}

// sweep forgets what is past its time.
func (g *Gossip) sweep(now int64) {
	if now-g.sweptAt < sweepMillis {
		return
	}
	g.sweptAt = now
	for i := range g.leaves {
		for j := len(g.leaves[i]) - 1; j >= 0; j-- {
			if e := g.leaves[i][j]; e.expired(now) {
				g.drop(e.key)
			}
		}
	}
	for version, at := range g.seen {
		if at < now-seenMillis {
			delete(g.seen, version)
		}
	}
	g.sweepRecent(now)
}

func (g *Gossip) sweepRecent(now int64) {
	kept := g.recent[:0]
	for _, e := range g.recent {
		if !e.dropped && now-e.changedAt < recentMillis {
			kept = append(kept, e)
		}
	}
	clear(g.recent[len(kept):])
	g.recent = kept
}
