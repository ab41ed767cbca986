package sidecr

import (
	"context"
	"encoding/json"

	"bergamotloom.example/cursor"
	"bergamotloom.example/feed"
	"bergamotloom.example/record"
)

// staleMillis is the age at which the row of a dead node is removed. It must exceed
// the length of any partition, as partitioned nodes find each other by the rows. A
// node that finds a row of its own writes it again only if it's older than
// freshMillis.
const (
	staleMillis = 6 * 3_600_000
	freshMillis = staleMillis / 2
)

// nodeRow is the row of a node in the store, by its address.
type nodeRow struct {
	Name          string
	WrittenMillis int64
	// TellsLeft says that LeftTarget and LeftBornMillis are those of the node's last
	// target that left, as in a leftRow. They're empty if there's none.
	TellsLeft      bool   `json:",omitempty"`
	LeftTarget     string `json:",omitempty"`
	LeftBornMillis int64  `json:",omitempty"`
	// LeftRequestMillis is when the last leave request of LeftTarget came. It's equal to
	// LeftBornMillis if the start time of the one that left isn't known.
	LeftRequestMillis int64 `json:",omitempty"`
}

// isFresh reports whether the row needn't be written now.
func (r nodeRow) isFresh(now int64) bool {
	return r.TellsLeft && r.WrittenMillis > 0 && now-r.WrittenMillis < freshMillis
}

// leftRow is the row of a node's last target that left, for nodes of earlier builds.
type leftRow struct {
	Target     string
	BornMillis int64
}

// encodeRow returns the JSON of a row, which can't fail for the row types here.
func encodeRow(row any) []byte {
	text, err := json.Marshal(row)
	if err != nil {
		panic("sidecr: encoding a row: " + err.Error())
	}
	return text
}

// nodeRecord returns the node's row.
func (n *Sidecar) nodeRecord() record.Record {
	left := n.gate.LastLeft()
	row := nodeRow{Name: n.params.Name, WrittenMillis: n.clock.Now(), TellsLeft: true, LeftTarget: left}
	if left != "" {
		row.LeftBornMillis, row.LeftRequestMillis = n.gate.LeftStartMillis(left)
	}
	return record.Record{Key: n.params.Peers, Value: encodeRow(row)}
}

// writeNode writes the node's row.
func (n *Sidecar) writeNode(ctx context.Context) error {
	era, err := n.store.Put(ctx, map[string]record.Record{nodesTable: n.nodeRecord()})
	if err != nil {
		return err
	}
	n.nodeWritten(era)
	return nil
}

func (n *Sidecar) nodeWritten(era int64) {
	n.writtenEra.CompareAndSwap(-1, era)
	if before := n.nodeEra.Swap(era); before >= 0 && before != era {
		n.countRewritten(nodesTable, n.params.Peers)
	}
}

// writeLeft writes that a target left, unless another one has left since.
func (n *Sidecar) writeLeft(ctx context.Context, target string) error {
	if n.gate.LastLeft() != target || target == "" {
		return nil
	}
	startMillis, _ := n.gate.LeftStartMillis(target)
	left := encodeRow(leftRow{target, startMillis})
	era, err := n.store.Put(ctx, map[string]record.Record{
		nodesTable: n.nodeRecord(),
		leftTable:  {Key: n.params.Peers, Value: left},
	})
	if err != nil {
		return err
	}
	n.nodeWritten(era)
	if before := n.leftEra.Swap(era); before >= 0 && before != era {
		n.countRewritten(leftTable, n.params.Peers)
	}
	return nil
}

// removeStale removes the rows of dead nodes and of their targets.
func (n *Sidecar) removeStale(ctx context.Context) error {
	nodes, at, err := feed.Rows(ctx, n.store, nodesTable)
	if err != nil {
		return err
	}
	staleNodes := staleRows(nodes, n.clock.Now())
	if len(staleNodes) == 0 {
		return nil
	}
	left, leftAt, err := feed.Rows(ctx, n.store, leftTable)
	if err != nil {
		return err
	}
	for _, r := range left {
		if staleNodes[r.Key] != 0 {
			n.remove(ctx, leftTable, r.Key, cursor.Cursor{Era: leftAt.Era, Version: r.Version})
		}
	}
	for key, version := range staleNodes {
		n.remove(ctx, nodesTable, key, cursor.Cursor{Era: at.Era, Version: version})
	}
	return nil
}

// remove removes a row that wasn't written since it was read at this position. If
// it fails, the next node that finds the row tries again.
func (n *Sidecar) remove(ctx context.Context, table, key string, at cursor.Cursor) {
	if err := n.store.Remove(ctx, table, key, at); err != nil {
		n.log.Info("node: removing a stale row failed", "Table", table, "Key", key, "Error", err.Error())
		return
	}
	n.log.Info("node: removed a stale row", "Table", table, "Key", key)
}

// staleRows returns the versions of the rows that weren't renewed for more than
// staleMillis, by their row keys. It ignores malformed rows, as other programs
// may have written them.
func staleRows(nodes []record.Record, now int64) map[string]int64 {
	versions := make(map[string]int64)
	for _, r := range nodes {
		var row nodeRow
		if json.Unmarshal(r.Value, &row) == nil && row.WrittenMillis > 0 && now-row.WrittenMillis > staleMillis {
			versions[r.Key] = r.Version
		}
	}
	return versions
}
