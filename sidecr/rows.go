package sidecr

import (
	"context"
	"encoding/json"

	"bergamotloom.example/record"
)

const (
	// renewMillis to twice that passes before a node writes its row anew, so
	// that a fleet of thousands asks the store some ten times a second.
	renewMillis = 300_000
	// staleMillis is how old the row of a node that has gone may get: longer
	// than any partition lasts, as those behind it find others by the rows.
	staleMillis = 6 * 3_600_000
)

// nodeRow is what the store holds of a node, under its address.
type nodeRow struct {
	Name          string
	WrittenMillis int64
}

// leftRow names the target that left last beside a node.
type leftRow struct {
	Target     string
	BornMillis int64
}

// mustJSON writes a row; rows hold only what has a JSON form.
func mustJSON(row any) []byte {
	text, err := json.Marshal(row)
	if err != nil {
		panic("sidecr: a row has no JSON form: " + err.Error())
	}
	return text
}

func (n *Sidecar) writeNode(ctx context.Context) error {
	return n.store.Put(ctx, nodesTable, n.siting.Peers, mustJSON(nodeRow{n.siting.Name, n.clock.Now()}))
}

// removeStale removes the rows that nodes have left behind, with those of their
// targets.
func (n *Sidecar) removeStale(ctx context.Context) error {
	nodes, _, err := n.store.Rows(ctx, nodesTable)
	if err != nil {
		return err
	}
	gone := stale(nodes, n.clock.Now())
	if len(gone) == 0 {
		return nil
	}
	left, _, err := n.store.Rows(ctx, leftTable)
	if err != nil {
		return err
	}
	for _, r := range left {
		if gone[r.Key] != 0 {
			n.remove(ctx, leftTable, r.Key, r.Version)
		}
	}
	for key, version := range gone {
		n.remove(ctx, nodesTable, key, version)
	}
	return nil
}

// remove removes a row that nobody has written since. If it fails, the next
// node that looks tries again.
func (n *Sidecar) remove(ctx context.Context, table, key string, version int64) {
	if err := n.store.Remove(ctx, table, key, version); err != nil {
		n.log.Info("node: a stale row stays", "Table", table, "Key", key, "Error", err.Error())
		return
	}
	n.log.Info("node: removed a stale row", "Table", table, "Key", key)
}

// stale returns the versions of the rows, by their keys, that weren't renewed
// for long. Rows that can't be read are other writers'.
func stale(nodes []record.Record, now int64) map[string]int64 {
	gone := make(map[string]int64)
	for _, r := range nodes {
		var row nodeRow
		if json.Unmarshal(r.Value, &row) == nil && row.WrittenMillis > 0 && now-row.WrittenMillis > staleMillis {
			gone[r.Key] = r.Version
		}
	}
	return gone
}
