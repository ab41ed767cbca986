package sidecr

import (
	"context"
	"math/rand/v2"
	"time"

	"bergamotloom.example/card"
	"bergamotloom.example/feed"
	"bergamotloom.example/meter"
	"bergamotloom.example/muster"
	"bergamotloom.example/pause"
	"bergamotloom.example/record"
)

const (
	// eraCheckInterval is the time between two checks whether the store was
	// restored.
	eraCheckInterval = 200 * time.Millisecond
	// rewritesPerSecond is the rate at which all nodes together write their rows
	// anew.
	rewritesPerSecond = 100
	// verifyDelay is how long after its row was written anew a node checks that it's
	// still there.
	verifyDelay = 3 * time.Second
)

// watchEra writes the node's rows anew whenever the store was restored from a copy,
// until the context ends. Nodes that don't call the store learn that from their peers.
func (n *Sidecar) watchEra(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, eraCheckInterval)
		written := n.writtenEra.Load()
		if written < 0 {
			continue
		}
		if era := max(n.store.Era(), n.newestPeerEra()); era > written {
			n.log.Warn("node: the store was restored from a copy, writing rows anew", "Era", era, "EraBefore", written)
			n.writeRowsAnew(ctx)
			n.writtenEra.Store(era)
		}
	}
}

// newestPeerEra returns the highest era of the store that a peer knows.
func (n *Sidecar) newestPeerEra() int64 {
	era := int64(0)
	for _, c := range n.mesh.Cards() {
		era = max(era, c.StoreEra)
	}
	return era
}

// writeRowsAnew writes the rows for which this node stands. The nodes that watch the
// store also write those of crashes that nobody else has written.
func (n *Sidecar) writeRowsAnew(ctx context.Context) {
	peers, _ := n.mesh.PeerCounts()
	pause.For(ctx, rand.N(time.Duration(peers+1)*time.Second/rewritesPerSecond))
	n.retry(ctx, meter.Restore, "writing the node's rows anew", n.writeOwnRows)
	if n.Duty().Watches {
		n.retry(ctx, meter.Restore, "writing crashes anew", n.writeCrashesAnew)
	}
	pause.For(ctx, verifyDelay)
	n.retry(ctx, meter.Restore, "reading the node's row", n.verifyNode)
}

// writeOwnRows writes the node's row, and that of its last target that left.
func (n *Sidecar) writeOwnRows(ctx context.Context) error {
	if left := n.gate.LastLeft(); left != "" {
		return n.writeLeft(ctx, left)
	}
	return n.writeNode(ctx)
}

// verifyNode writes the node's row again if it's gone.
func (n *Sidecar) verifyNode(ctx context.Context) error {
	rows, _, _, err := n.store.Page(ctx, nodesTable, n.params.Peers, muster.NearRows)
	if err != nil {
		return err
	}
	if own, _ := n.addNodes(rows); own.isFresh(n.clock.Now()) {
		return nil
	}
	return n.writeOwnRows(ctx)
}

// writeCrashesAnew writes the crashes that this node knows and that the table lacks.
func (n *Sidecar) writeCrashesAnew(ctx context.Context) error {
	rows, at, err := feed.Rows(ctx, n.store, crashesTable)
	if err != nil {
		return err
	}
	n.learnCrashes(rows, true, at)
	for key, value := range n.suspects.MissingRows(rowValues(rows)) {
		if err := n.writeCrash(ctx, key, value); err != nil {
			return err
		}
		n.countRewritten(crashesTable, key)
	}
	return nil
}

func rowValues(rows []record.Record) [][]byte {
	var values [][]byte
	for _, r := range rows {
		values = append(values, r.Value)
	}
	return values
}

// countRewritten logs and counts a row that was written anew.
func (n *Sidecar) countRewritten(table, key string) {
	n.rewritten.Add(1)
	n.log.Info("node: row written anew", "Table", table, "Key", key, "Era", n.store.Era())
}

// learnOwn takes in a card of an earlier incarnation of this node, which a peer has
// kept: it may know of a leave that the store doesn't have.
func (n *Sidecar) learnOwn(c card.Card) {
	if c.LeftTarget == "" || n.params.FirstStart {
		return
	}
	if n.gate.MarkLeft(c.LeftTarget, c.LeftStartMillis, c.LeftRequestMillis) {
		n.log.Info("node: a peer knows of a target that left here", "Target", c.LeftTarget, "BornMillis", c.LeftStartMillis)
		go n.recordLeave(n.requests, c.LeftTarget)
	}
}
