package sidecr

import (
	"context"
	"time"

	"bergamotloom.example/crash"
	"bergamotloom.example/cursor"
	"bergamotloom.example/feed"
	"bergamotloom.example/meter"
	"bergamotloom.example/record"
)

const (
	// crashesTable holds a row for each report of a crash that isn't older than a
	// few minutes.
	crashesTable = "Crashes"
	// crashesWaitMillis is the min timeout of a long poll of that table, which
	// changes rarely. Cards tell the same sooner, as long as peers hear each other.
	crashesWaitMillis = 15_000
	// factMillis is how long a card carries a fact. Nodes that start later read the
	// rows, and the cards of all nodes name the requests that they refuse.
	factMillis = 10_000
)

// publishFact publishes a fact on the node's cards.
func (n *Sidecar) publishFact(key string, version int64, value []byte, ttlMillis int64) {
	n.facts.Publish(key, version, value, min(ttlMillis, factMillis))
}

// keepCrash writes the row of a crash in the background, until it's written or
// isn't needed any more.
func (n *Sidecar) keepCrash(key string, value []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(n.requests, crash.BlockMillis*time.Millisecond)
		defer cancel()
		n.retry(ctx, meter.Crash, "recording a crash", func(ctx context.Context) error {
			return n.writeCrash(ctx, key, value)
		})
	}()
}

func (n *Sidecar) writeCrash(ctx context.Context, key string, value []byte) error {
	_, err := n.store.Put(ctx, map[string]record.Record{crashesTable: {Key: key, Value: value}})
	return err
}

// learnCrashes takes in rows of the table of crashes. If they're all rows, and not
// those that have just been written, it tells the peers: after a restart of the whole
// fleet only the nodes that watch the store read them.
func (n *Sidecar) learnCrashes(rows []record.Record, all bool, _ cursor.Cursor) {
	for _, r := range rows {
		if r.Value == nil {
			continue
		}
		if err := n.suspects.OnRow(r.Key, r.Value, all); err != nil {
			n.log.Warn("node: ignoring the malformed row of a crash", "Error", err.Error())
		}
	}
}

// removeExpiredCrashes removes the rows of crashes that aren't needed any more.
func (n *Sidecar) removeExpiredCrashes(ctx context.Context) error {
	rows, at, err := feed.Rows(ctx, n.store, crashesTable)
	if err != nil {
		return err
	}
	for _, r := range rows {
		if n.suspects.IsExpired(r.Value) {
			n.remove(ctx, crashesTable, r.Key, cursor.Cursor{Era: at.Era, Version: r.Version})
		}
	}
	return nil
}
