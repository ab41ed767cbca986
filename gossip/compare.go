package gossip

import (
	"slices"

	"bergamotloom.example/digest"
)

const (
	// compareMillis is the time between comparisons with a random peer, and
	// catchUpMillis while the node isn't synced or the last one hasn't ended.
	compareMillis = 5000
	catchUpMillis = 400
	// backlogCompareMillis is the time between comparisons after a backlog.
	backlogCompareMillis = 1000
	// suspectCompareMillis is the mean time between comparisons of a node with a
	// suspect member, which may be alive in another partition. It's longer in a
	// large fleet, in which fleetSuspectCompareMillis is the mean time between such
	// comparisons of all nodes together.
	suspectCompareMillis      = 2000
	fleetSuspectCompareMillis = 100
	// maxComparedLeaves is how many leaves one comparison covers.
	maxComparedLeaves = 64
	// maxConsecutiveComparisons bounds the comparisons that a synced node makes without a
	// pause between them.
	maxConsecutiveComparisons = 8
	// comparisonBytes is the approximate max size of one message of a comparison.
	comparisonBytes = 64 << 10
)

// compare begins a comparison when one is due.
func (g *Gossip) compare(now int64) {
	interval := int64(compareMillis)
	switch {
	case !g.synced || g.comparing:
		interval = catchUpMillis
	case now < g.backlogUntil:
		interval = backlogCompareMillis
	}
	if now-g.comparedAt >= interval {
		g.comparedAt = now
		g.startComparison(g.comparisonPeer())
	}
	g.compareWithSuspect(now)
}

func (g *Gossip) compareWithSuspect(now int64) {
	if now < g.nextSuspectCompare {
		return
	}
	interval := max(suspectCompareMillis, fleetSuspectCompareMillis*int64(g.ring.Len()))
	g.nextSuspectCompare = now + interval/2 + g.random.Int64N(interval)
	if peer := g.pickSuspect(); peer != "" && g.synced {
		g.startComparison(peer)
	}
}

// comparisonPeer picks the node to compare with: a random peer, otherwise one to
// join through, otherwise a suspect member; "" if the node knows no other.
func (g *Gossip) comparisonPeer() string {
	if peers := g.pickPeers(1, ""); len(peers) > 0 {
		return peers[0]
	}
	if len(g.joinPeers) > 0 {
		return g.joinPeers[g.random.IntN(len(g.joinPeers))]
	}
	return g.pickSuspect()
}

func (g *Gossip) startComparison(peer string) {
	if peer == "" {
		g.synced = true
		return
	}
	g.comparisonID++
	g.comparing = true
	g.partial = false
	g.post(message{Comparison: &comparison{Stage: stageRoot, ComparisonID: g.comparisonID, Root: g.tree.Root()}}, peer)
}

func (g *Gossip) pickSuspect() string {
	var suspects []string
	for i := range g.leaves {
		for _, e := range g.leaves[i] {
			if e.isMember() && e.member.Suspect && !e.member.Dead {
				suspects = append(suspects, e.member.ID)
			}
		}
	}
	if len(suspects) == 0 {
		return ""
	}
	return suspects[g.random.IntN(len(suspects))]
}

// handleComparison handles one step of a comparison and puts the next one into the
// response.
func (g *Gossip) handleComparison(from string, response *message, c comparison) {
	next := comparison{ComparisonID: c.ComparisonID, Partial: c.Partial}
	switch c.Stage {
	case stageRoot:
		g.respondToRoot(&next, c)
	case stageSame:
		g.endComparison(from, c)
	case stageGroups:
		g.listLeaves(&next, c)
	case stageLeaves:
		g.listEntries(&next, c)
	case stageEntries:
		g.exchangeEntries(from, response, &next, c)
	case stageRequest:
		next.Stage = stageSent
		isComplete := g.addEntries(response, c.Entries.keys(), comparisonBytes)
		next.Partial = next.Partial || !isComplete
	case stageSent:
		g.endComparison(from, c)
	}
	if next.Stage != 0 {
		response.Comparison = &next
	}
}

func (l *hashList) keys() []uint64 {
	if l == nil {
		return nil
	}
	return l.Keys
}

func (g *Gossip) respondToRoot(next *comparison, c comparison) {
	if c.Root == g.tree.Root() {
		next.Stage = stageSame
		return
	}
	next.Stage = stageGroups
	for i := range digest.GroupCount {
		next.Hashes = append(next.Hashes, g.tree.Group(i))
	}
}

func (g *Gossip) listLeaves(next *comparison, c comparison) {
	if len(c.Hashes) != digest.GroupCount {
		g.malformed++
		return
	}
	next.Stage = stageLeaves
	for i, h := range c.Hashes {
		if h != g.tree.Group(i) {
			g.listGroup(next, i)
		}
	}
}

func (g *Gossip) listGroup(next *comparison, group int) {
	next.Nodes = append(next.Nodes, uint16(group))
	for i := range digest.GroupLeaves {
		next.Hashes = append(next.Hashes, g.tree.Leaf(group*digest.GroupLeaves+i))
	}
}

// listEntries lists the entries of the leaves that differ, as many as one
// comparison covers.
func (g *Gossip) listEntries(next *comparison, c comparison) {
	if len(c.Hashes) != len(c.Nodes)*digest.GroupLeaves {
		g.malformed++
		return
	}
	var differ []uint16
	for i, h := range c.Hashes {
		leaf := int(c.Nodes[i/digest.GroupLeaves])*digest.GroupLeaves + i%digest.GroupLeaves
		if leaf >= digest.LeafCount {
			g.malformed++
			return
		}
		if h != g.tree.Leaf(leaf) {
			differ = append(differ, uint16(leaf))
		}
	}
	next.Partial = len(differ) > maxComparedLeaves
	differ = g.pickLeaves(differ)
	next.Stage = stageEntries
	next.Nodes = differ
	next.Entries = &hashList{}
	for _, leaf := range differ {
		for _, e := range g.leaves[leaf] {
			next.Entries.add(e)
		}
	}
}

// pickLeaves reduces the leaves that differ to what one comparison covers: leaves
// of facts first, then consecutive ones of the others from a random one on.
func (g *Gossip) pickLeaves(differ []uint16) []uint16 {
	if len(differ) <= maxComparedLeaves {
		return differ
	}
	count := 0
	for count < maxComparedLeaves && differ[count] < factLeaves {
		count++
	}
	facts, others := differ[:count], differ[count:]
	rest := maxComparedLeaves - count
	start := g.random.IntN(len(others) - rest + 1)
	return append(slices.Clone(facts), others[start:start+rest]...)
}

// exchangeEntries sends the entries that the peer lacks and requests those that are
// unknown here. Of an entry that differs both nodes send theirs, and the newer
// one is kept.
func (g *Gossip) exchangeEntries(from string, response *message, next *comparison, c comparison) {
	theirs := make(map[uint64]uint32)
	next.Entries = &hashList{}
	for i, k := range c.Entries.keys() {
		theirs[k] = c.Entries.Marks[i]
		if !g.knowsVersion(k, c.Entries.Marks[i]) {
			next.Entries.Keys = append(next.Entries.Keys, k)
			next.Entries.Marks = append(next.Entries.Marks, c.Entries.Marks[i])
		}
	}
	g.addDiffering(response, c.Nodes, theirs)
	if len(next.Entries.Keys) > 0 {
		next.Stage = stageRequest
		g.partial = g.partial || c.Partial
		return
	}
	g.endComparison(from, c)
}

func (g *Gossip) addDiffering(response *message, leaves []uint16, theirs map[uint64]uint32) {
	size := 0
	for _, leaf := range leaves {
		if int(leaf) >= digest.LeafCount {
			g.malformed++
			return
		}
		for _, e := range g.leaves[leaf] {
			versionHash, ok := theirs[e.key]
			if (!ok || versionHash != e.versionHash) && size < comparisonBytes {
				size += g.addEntry(response, e)
			}
		}
	}
}

// endComparison marks the node as synced if this was its latest own comparison and
// covered all differences; otherwise it starts the next one at once.
func (g *Gossip) endComparison(from string, c comparison) {
	if c.ComparisonID != g.comparisonID {
		return
	}
	isPartial := c.Partial || g.partial
	if isPartial && (!g.synced || g.consecutiveComparisons < maxConsecutiveComparisons) {
		g.consecutiveComparisons++
		g.comparedAt = g.clock.Now()
		g.startComparison(from)
		return
	}
	g.consecutiveComparisons = 0
	g.comparing = false
	g.synced = true
}
