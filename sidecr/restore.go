package sidecr

import (
	"context"
	"math/rand/v2"
	"time"

	"bergamotloom.example/card"
	"bergamotloom.example/meter"
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
// until the context ends.
func (n *Sidecar) watchEra(ctx context.Context) {
	var peersEra int64
	for ctx.Err() == nil {
		pause.For(ctx, eraCheckInterval)
		written := n.writtenEra.Load()
		if written < 0 {
			continue
		}
		if era := n.store.Era(); era > written {
			n.log.Warn("node: the store was restored from a copy, writing rows anew", "Era", era, "EraBefore", written)
			n.writeRowsAnew(ctx)
			n.writtenEra.Store(era)
		}
		// A node that doesn't watch the store asks it once a peer knows a later era.
		if era := n.newestPeerEra(); era > max(peersEra, n.store.Era()) {
			peersEra = era
			n.retry(ctx, meter.Restore, "reading the nodes", n.readNodes)
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

// writeRowsAnew writes the rows for which this node stands, and those of crashes that
// nobody else has written, and reads the other nodes.
func (n *Sidecar) writeRowsAnew(ctx context.Context) {
	peers, _ := n.mesh.PeerCounts()
	pause.For(ctx, rand.N(time.Duration(peers+1)*time.Second/rewritesPerSecond))
	// The target's row first: a node that restarts needs it.
	n.retry(ctx, meter.Restore, "writing the target that left anew", func(ctx context.Context) error { return n.writeLeft(ctx, n.gate.LastLeft()) })
	n.retry(ctx, meter.Restore, "writing the node's row anew", n.writeNode)
	n.retry(ctx, meter.Restore, "writing crashes anew", n.writeCrashesAnew)
	pause.For(ctx, verifyDelay)
	n.retry(ctx, meter.Restore, "reading the nodes", n.readNodes)
}

// writeCrashesAnew writes the crashes that this node knows and that the table lacks.
func (n *Sidecar) writeCrashesAnew(ctx context.Context) error {
	rows, _, err := n.store.Rows(ctx, crashesTable)
	if err != nil {
		return err
	}
	n.learnCrashes(rows)
	for key, value := range n.suspects.MissingRows(rowValues(rows)) {
		if _, err := n.store.Put(ctx, crashesTable, key, value); err != nil {
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
	if n.gate.MarkLeft(c.LeftTarget, c.LeftStartMillis) {
		n.log.Info("node: a peer knows of a target that left here", "Target", c.LeftTarget, "BornMillis", c.LeftStartMillis)
		go n.recordLeave(n.requests, c.LeftTarget)
	}
}
