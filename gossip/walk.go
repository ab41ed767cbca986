package gossip

import (
	"slices"

	"bergamotloom.example/digest"
)

const (
	// compareMillis is the time between comparisons with a random peer, and
	// catchUpMillis while the node isn't settled or the last one didn't end.
	compareMillis = 5000
	catchUpMillis = 400
	// busyCompareMillis is the time between comparisons after a backlog.
	busyCompareMillis = 1000
	// mergeMillis is the time between comparisons of a node with a suspect,
	// which may live on behind a cut. In a large fleet it's longer: all nodes
	// together make one in fleetMergeMillis.
	mergeMillis      = 2000
	fleetMergeMillis = 100
	// walkLeavesAtOnce is how many leaves one walk covers.
	walkLeavesAtOnce = 64
	// maxStreak bounds the walks that a settled node makes in a row.
	maxStreak = 8
	// walkBytes is about how much one message of a walk may take.
	walkBytes = 64 << 10
)

// compare begins a walk when one is due.
func (g *Gossip) compare(now int64) {
	pace := int64(compareMillis)
	switch {
	case !g.settled || g.walking:
		pace = catchUpMillis
	case now < g.busyUntil:
		pace = busyCompareMillis
	}
	if now-g.walkAt >= pace {
		g.walkAt = now
		g.startWalk(g.walkPeer())
	}
	g.compareWithSuspect(now)
}

func (g *Gossip) compareWithSuspect(now int64) {
	if now < g.mergeAt {
		return
	}
	pace := max(mergeMillis, fleetMergeMillis*int64(g.ring.Len()))
	g.mergeAt = now + pace/2 + g.random.Int64N(pace)
	if peer := g.pickSuspect(); peer != "" && g.settled {
		g.startWalk(peer)
	}
}

// walkPeer picks whom to compare with: a random peer, else one to join by,
// else a suspect; "" if the node knows no other.
func (g *Gossip) walkPeer() string {
	if peers := g.pickPeers(1, ""); len(peers) > 0 {
		return peers[0]
	}
	if len(g.joins) > 0 {
		return g.joins[g.random.IntN(len(g.joins))]
	}
	return g.pickSuspect()
}

func (g *Gossip) startWalk(peer string) {
	if peer == "" {
		g.settled = true
		return
	}
	g.round++
	g.walking = true
	g.partial = false
	g.post(message{Walk: &walk{Stage: walkRoot, Round: g.round, Root: g.tree.Root()}}, peer)
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

// step takes a step of a walk and puts the next one into the answer.
func (g *Gossip) step(from string, answer *message, w walk) {
	next := walk{Round: w.Round, Partial: w.Partial}
	switch w.Stage {
	case walkRoot:
		g.answerRoot(&next, w)
	case walkSame:
		g.endWalk(from, w)
	case walkGroups:
		g.listLeaves(&next, w)
	case walkLeaves:
		g.listBriefs(&next, w)
	case walkBriefs:
		g.settleBriefs(from, answer, &next, w)
	case walkWants:
		next.Stage = walkGives
		isWhole := g.giveAll(answer, w.Entries.keys(), walkBytes)
		next.Partial = next.Partial || !isWhole
	case walkGives:
		g.endWalk(from, w)
	}
	if next.Stage != 0 {
		answer.Walk = &next
	}
}

func (b *briefs) keys() []uint64 {
	if b == nil {
		return nil
	}
	return b.Keys
}

func (g *Gossip) answerRoot(next *walk, w walk) {
	if w.Root == g.tree.Root() {
		next.Stage = walkSame
		return
	}
	next.Stage = walkGroups
	for i := range digest.GroupCount {
		next.Hashes = append(next.Hashes, g.tree.Group(i))
	}
}

func (g *Gossip) listLeaves(next *walk, w walk) {
	if len(w.Hashes) != digest.GroupCount {
		g.badCount++
		return
	}
	next.Stage = walkLeaves
	for i, h := range w.Hashes {
		if h != g.tree.Group(i) {
			g.listGroup(next, i)
		}
	}
}

func (g *Gossip) listGroup(next *walk, group int) {
	next.Nodes = append(next.Nodes, uint16(group))
	for i := range digest.GroupLeaves {
		next.Hashes = append(next.Hashes, g.tree.Leaf(group*digest.GroupLeaves+i))
	}
}

// listBriefs lists the entries of the leaves that differ, as many as one walk
// covers, from a random one on.
func (g *Gossip) listBriefs(next *walk, w walk) {
	if len(w.Hashes) != len(w.Nodes)*digest.GroupLeaves {
		g.badCount++
		return
	}
	var differ []uint16
	for i, h := range w.Hashes {
		leaf := int(w.Nodes[i/digest.GroupLeaves])*digest.GroupLeaves + i%digest.GroupLeaves
		if leaf >= digest.LeafCount {
			g.badCount++
			return
		}
		if h != g.tree.Leaf(leaf) {
			differ = append(differ, uint16(leaf))
		}
	}
	next.Partial = len(differ) > walkLeavesAtOnce
	differ = g.pickLeaves(differ)
	next.Stage = walkBriefs
	next.Nodes = differ
	next.Entries = &briefs{}
	for _, leaf := range differ {
		for _, e := range g.leaves[leaf] {
			next.Entries.add(e)
		}
	}
}

// pickLeaves cuts the leaves that differ down to what one walk covers: facts
// first, then a run of the others that begins anywhere.
func (g *Gossip) pickLeaves(differ []uint16) []uint16 {
	if len(differ) <= walkLeavesAtOnce {
		return differ
	}
	count := 0
	for count < walkLeavesAtOnce && differ[count] < factLeaves {
		count++
	}
	facts, others := differ[:count], differ[count:]
	rest := walkLeavesAtOnce - count
	start := g.random.IntN(len(others) - rest + 1)
	return append(slices.Clone(facts), others[start:start+rest]...)
}

// settleBriefs gives what the other lacks and asks for what it has newer. Of
// an entry that differs both sides send theirs, and the newer one stays.
func (g *Gossip) settleBriefs(from string, answer *message, next *walk, w walk) {
	theirs := make(map[uint64]uint32)
	next.Entries = &briefs{}
	for i, k := range w.Entries.keys() {
		theirs[k] = w.Entries.Marks[i]
		if !g.knows(k, w.Entries.Marks[i]) {
			next.Entries.Keys = append(next.Entries.Keys, k)
			next.Entries.Marks = append(next.Entries.Marks, w.Entries.Marks[i])
		}
	}
	g.giveDiffering(answer, w.Nodes, theirs)
	if len(next.Entries.Keys) > 0 {
		next.Stage = walkWants
		g.partial = g.partial || w.Partial
		return
	}
	g.endWalk(from, w)
}

func (g *Gossip) giveDiffering(answer *message, leaves []uint16, theirs map[uint64]uint32) {
	size := 0
	for _, leaf := range leaves {
		if int(leaf) >= digest.LeafCount {
			g.badCount++
			return
		}
		for _, e := range g.leaves[leaf] {
			mark, ok := theirs[e.key]
			if (!ok || mark != e.mark) && size < walkBytes {
				size += g.give(answer, e)
			}
		}
	}
}

// endWalk settles the node if the walk was its own last one and covered all
// that differed; otherwise the next walk starts at once.
func (g *Gossip) endWalk(from string, w walk) {
	if w.Round != g.round {
		return
	}
	isPartial := w.Partial || g.partial
	if isPartial && (!g.settled || g.streak < maxStreak) {
		g.streak++
		g.walkAt = g.clock.Now()
		g.startWalk(from)
		return
	}
	g.streak = 0
	g.walking = false
	g.settled = true
}
