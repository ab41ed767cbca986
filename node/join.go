package node

import (
	"context"
	"time"

	"bergamotloom.example/pause"
)

const (
	// joinIntervalMillis is the time between two attempts to join through the
	// table.
	joinIntervalMillis = 1000
	// renewCheckMillis is the time between two checks whether the node's row
	// has to be renewed.
	renewCheckMillis = 10_000
	// rowTimeoutMillis limits each read and write of the node's row.
	rowTimeoutMillis = 5000
)

// runMembership joins the fleet: it contacts the configured peers, writes the
// node's row to the table and reads other nodes from it, until it has received
// a message from one of them. After that it renews the row when that's due.
func (n *Node) runMembership(ctx context.Context) {
	for _, j := range n.setup.Join {
		n.gossip.Join(j)
	}
	for !n.join(ctx) {
		if !pause.For(ctx, joinIntervalMillis*time.Millisecond) {
			return
		}
	}
	every(ctx, renewCheckMillis, func() { n.renewRow(ctx) })
}

// join writes the node's row and learns the other nodes from the table. It
// returns true if the node has joined: its row is written, and it has received
// a message from another node or there's none.
func (n *Node) join(ctx context.Context) bool {
	rowCtx, cancel := context.WithTimeout(ctx, rowTimeoutMillis*time.Millisecond)
	defer cancel()
	others, err := n.roster.Register(rowCtx, n.gossip.Self())
	if err != nil {
		n.log.Warn("node: joining through the table failed", "Error", err)
		return false
	}
	for _, m := range others {
		n.gossip.Learn(m)
	}
	return len(others) == 0 || n.gossip.LastSeenMillis() > 0
}

func (n *Node) renewRow(ctx context.Context) {
	if !n.roster.IsDue() {
		return
	}
	rowCtx, cancel := context.WithTimeout(ctx, rowTimeoutMillis*time.Millisecond)
	defer cancel()
	if err := n.roster.Renew(rowCtx, n.gossip.Self(), n.isAlive); err != nil {
		n.log.Warn("node: renewing the node's row failed", "Error", err)
	}
}

func (n *Node) isAlive(id string) bool {
	m, ok := n.gossip.Member(id)
	return ok && !m.Dead
}
