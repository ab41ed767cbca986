package gossip

import "bergamotloom.example/digest"

const (
	// compareMillis is the time between comparisons with a random peer, and
	// catchUpMillis while the node isn't settled.
	compareMillis = 2000
	catchUpMillis = 400
	// mergeMillis is the time between comparisons with a suspect, which may
	// live on behind a cut.
	mergeMillis = 5000
	// walkLeavesAtOnce is how many leaves one walk covers.
	walkLeavesAtOnce = 64
)

// compare begins a walk when one is due.
func (g *Gossip) compare(now int64) {
	pace := int64(compareMillis)
	if !g.settled {
		pace = catchUpMillis
	}
	if now-g.walkAt >= pace {
		g.walkAt = now
		g.startWalk(g.walkPeer())
	}
	if now-g.mergeAt >= mergeMillis {
		g.mergeAt = now
		g.startMerge()
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
	g.partial = false
	g.post(message{Walk: &walk{Stage: walkRoot, Round: g.round, Root: g.tree.Root()}}, peer)
}

// startMerge compares with a random suspect, if there is one.
func (g *Gossip) startMerge() {
	if peer := g.pickSuspect(); peer != "" {
		g.post(message{Walk: &walk{Stage: walkRoot, Root: g.tree.Root()}}, peer)
	}
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
		next.Partial = !g.giveAll(answer, w.Entries.keys())
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
	if len(differ) > walkLeavesAtOnce {
		start := g.random.IntN(len(differ) - walkLeavesAtOnce + 1)
		differ = differ[start : start+walkLeavesAtOnce]
		next.Partial = true
	}
	next.Stage = walkBriefs
	next.Nodes = differ
	next.Entries = &briefs{}
	for _, leaf := range differ {
		for _, e := range g.leaves[leaf] {
			next.Entries.add(e)
		}
	}
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
			if (!ok || mark != e.mark) && size < batchBytes {
				size += g.give(answer, e)
			}
		}
	}
}

// endWalk settles the node if the walk was its own last one and covered all
// that differed; otherwise the next walk starts at once.
func (g *Gossip) endWalk(from string, w walk) {
	if w.Round != g.round || w.Round == 0 {
		return
	}
	if w.Partial || g.partial {
		g.walkAt = g.clock.Now()
		g.startWalk(from)
		return
	}
	g.settled = true
}
