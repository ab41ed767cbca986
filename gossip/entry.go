package gossip

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bergamotloom.example/digest"
	"bergamotloom.example/member"
)

const (
	// retentionMillis is how long the record of a suspect or dead member is kept.
	// It's longer than the longest expected partition between regions.
	retentionMillis = 2 * 60 * 60 * 1000
	// recentSuspicionMillis is the age up to which a suspicion is accepted without
	// a probe. It's longer than a suspicion takes to reach all nodes.
	recentSuspicionMillis = 2 * 1000
	// minLeftMillis is the remaining lifetime up to which a received entry that's
	// unknown here is ignored, so that it isn't passed on while it expires elsewhere.
	minLeftMillis = 2 * 1000

	// maxLifetimeMillis bounds the time to live of a fact.
	maxLifetimeMillis = 24 * 60 * 60 * 1000
	// maxVersionNumber bounds incarnations and serial numbers, so that a higher one is
	// always available.
	maxVersionNumber = 1 << 60

	// recentMillis is how long an entry counts as recent.
	recentMillis = 5 * 1000
	// supersededMillis is how long the hash of a superseded version is kept, so
	// that the version isn't requested again.
	supersededMillis  = 30 * 1000
	expiryCheckMillis = 1000

	// maxInterned bounds the number of interned strings, which peers choose.
	maxInterned = 64 << 10
)

// fact is a versioned value under a key. Only a higher version replaces it.
type fact struct {
	key     string
	version int64
	value   []byte
}

// entry is a member's record or a fact.
type entry struct {
	key         uint64
	versionHash uint32
	// dropped says that the entry was removed from the node's state.
	dropped bool
	member  member.Member
	fact    fact
	// pushes counts how often the entry was pushed.
	pushes int
	// changedAt is when the node learned this version.
	changedAt int64
	// lastSeenMillis is when the member was last known to be alive.
	lastSeenMillis int64
	// expiresAt is when the entry is dropped; 0 means never.
	expiresAt int64
}

func (e *entry) isMember() bool {
	return e.member.ID != ""
}

func (e *entry) expired(now int64) bool {
	return e.expiresAt != 0 && now >= e.expiresAt
}

// leftMillis returns the remaining lifetime of the entry that is sent to other
// nodes, 0 if it doesn't expire. The node's own record never expires here; if it's
// suspect or dead, other nodes keep it for retentionMillis.
func (e *entry) leftMillis(now int64) int64 {
	switch {
	case e.expiresAt != 0:
		return max(e.expiresAt-now, 1)
	case isSuspectOrDead(e.member):
		return retentionMillis
	default:
		return 0
	}
}

// supersededKey returns the key of the entry's version in superseded.
func (e *entry) supersededKey() uint64 {
	return supersededKey(e.key, e.versionHash)
}

func supersededKey(key uint64, versionHash uint32) uint64 {
	return key ^ uint64(versionHash)<<32 ^ uint64(versionHash)
}

// Keys of facts belong to the first leaves of the digest, those of members to the
// others, so that a comparison can cover the facts first.
const (
	factBits     = 3
	factLeaves   = digest.LeafCount >> factBits
	minMemberKey = uint64(1) << (64 - factBits)
)

func keyOfMember(id string) uint64 {
	h := xxhash.Sum64String("member " + id)
	if h < minMemberKey {
		h |= minMemberKey
	}
	return h
}

func keyOfFact(key string) uint64 {
	return xxhash.Sum64String("fact "+key) >> factBits
}

func memberVersionHash(m member.Member) uint32 {
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(b[8:], uint64(m.Serial))
	b[16] = flagsOf(m) & (flagSuspect | flagDead)
	return uint32(xxhash.Sum64(b[:]))
}

func factVersionHash(f fact) uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(f.version))
	return uint32(xxhash.Sum64(b[:]))
}

// applyMember stores a received record if it's newer than the known one, and
// pushes it to peers if push is true.
func (g *Gossip) applyMember(m member.Member, leftMillis int64, push bool) {
	isValid := m.ID != "" && len(m.ID) <= maxIDBytes &&
		m.Incarnation >= 0 && m.Incarnation < maxVersionNumber &&
		m.Serial >= 0 && m.Serial < maxVersionNumber
	if !isValid {
		return
	}
	old, known := g.entries[keyOfMember(m.ID)]
	if known && !m.Newer(old.member) {
		g.recordSuperseded(supersededKey(old.key, memberVersionHash(m)))
		return
	}
	if !known && isSuspectOrDead(m) && leftMillis <= minLeftMillis {
		return
	}
	if m.ID == g.self && m.Incarnation == g.incarnation && !m.Dead {
		g.refute(m)
		return
	}
	if known && g.synced && isOldSuspicion(m, old.member, leftMillis) {
		g.verifySuspicion(m, leftMillis)
		return
	}
	g.storeMember(m, leftMillis, push)
}

// isOldSuspicion reports whether the received record differs from the stored one
// only by a suspicion older than recentSuspicionMillis.
// It comes from the other side of a healed partition: on this side, the member's
// neighbours have received its heartbeats all the time.
func isOldSuspicion(m, old member.Member, leftMillis int64) bool {
	isOnlySuspicion := m.Suspect && !m.Dead && !isSuspectOrDead(old) &&
		m.Incarnation == old.Incarnation && m.Serial == old.Serial
	return isOnlySuspicion && retentionMillis-leftMillis > recentSuspicionMillis
}

// refute replaces a suspicion, or a record of an earlier process that had the
// same incarnation, by a record with a higher serial number, which only this node may
// assign.
func (g *Gossip) refute(m member.Member) {
	own := g.entries[keyOfMember(g.self)].member
	g.storeMember(own.WithSerial(m.Serial+1), 0, true)
}

func (g *Gossip) storeMember(m member.Member, leftMillis int64, push bool) {
	m.Service = g.intern(m.Service)
	m.Centre = g.intern(m.Centre)
	m.Region = g.intern(m.Region)
	e := &entry{key: keyOfMember(m.ID), versionHash: memberVersionHash(m), member: m}
	// The node's own record never expires.
	if isSuspectOrDead(m) && m.ID != g.self {
		e.expiresAt = g.clock.Now() + min(max(leftMillis, 1), retentionMillis)
	}
	if old, ok := g.entries[e.key]; ok && old.member.Incarnation == m.Incarnation {
		e.lastSeenMillis = old.lastSeenMillis
	}
	g.store(e, push)
	g.updateRing(m)
	if g.OnMember != nil {
		g.outbox = append(g.outbox, func() { g.OnMember(m) })
	}
}

// updateRing keeps suspect and dead members off the ring.
func (g *Gossip) updateRing(m member.Member) {
	onRing := g.ring.Contains(m.ID)
	if m.Suspect || m.Dead {
		if onRing {
			g.ring.Remove(m.ID)
			g.ringChanged = true
		}
		return
	}
	if !onRing {
		g.ring.Add(m.ID)
		g.ringChanged = true
	}
}

func (g *Gossip) applyFact(f fact, leftMillis int64, push bool) bool {
	key := keyOfFact(f.key)
	now := g.clock.Now()
	old, known := g.entries[key]
	if known && !old.expired(now) && f.version <= old.fact.version {
		g.recordSuperseded(supersededKey(key, factVersionHash(f)))
		return false
	}
	e := &entry{key: key, versionHash: factVersionHash(f), fact: f}
	if leftMillis > 0 {
		e.expiresAt = now + min(leftMillis, maxLifetimeMillis)
	}
	g.store(e, push)
	if g.OnFact != nil {
		g.outbox = append(g.outbox, func() { g.OnFact(f.key, f.version, f.value) })
	}
	return true
}

// store replaces the older version of an entry.
func (g *Gossip) store(e *entry, push bool) {
	e.changedAt = g.clock.Now()
	g.drop(e.key)
	g.entries[e.key] = e
	leaf := digest.LeafOf(e.key)
	g.leaves[leaf] = append(g.leaves[leaf], e)
	g.tree.Toggle(e.key, e.versionHash)
	g.recent = append(g.recent, e)
	if push {
		g.pushQueue = append(g.pushQueue, e)
	}
}

func (g *Gossip) drop(key uint64) {
	old, ok := g.entries[key]
	if !ok {
		return
	}
	old.dropped = true
	delete(g.entries, key)
	g.tree.Toggle(old.key, old.versionHash)
	g.recordSuperseded(old.supersededKey())
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

// recordSuperseded records the hash of a superseded version.
func (g *Gossip) recordSuperseded(hash uint64) {
	g.superseded[hash] = g.clock.Now()
}

// intern returns a shared copy of a string that many records contain.
func (g *Gossip) intern(s string) string {
	if w, ok := g.interned[s]; ok {
		return w
	}
	if len(g.interned) < maxInterned {
		g.interned[s] = s
	}
	return s
}

// dropExpired drops expired entries and hashes.
func (g *Gossip) dropExpired(now int64) {
	if now-g.expiryCheckedAt < expiryCheckMillis {
		return
	}
	g.expiryCheckedAt = now
	for i := range g.leaves {
		for j := len(g.leaves[i]) - 1; j >= 0; j-- {
			if e := g.leaves[i][j]; e.expired(now) {
				g.drop(e.key)
			}
		}
	}
	for hash, at := range g.superseded {
		if at < now-supersededMillis {
			delete(g.superseded, hash)
		}
	}
	g.dropOldRecent(now)
}

func (g *Gossip) dropOldRecent(now int64) {
	kept := g.recent[:0]
	for _, e := range g.recent {
		if !e.dropped && now-e.changedAt < recentMillis {
			kept = append(kept, e)
		}
	}
	clear(g.recent[len(kept):])
	g.recent = kept
}
