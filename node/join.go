package node

import (
	"context"
	"time"

	"bergamotloom.example/pause"
)

const (
	// joinMillis is the time between two tries to join by the table.
	joinMillis = 1000
	// renewCheckMillis is how often it's asked whether the row is due.
	renewCheckMillis = 10_000
	// rowMillis bounds the work on the node's row.
	rowMillis = 5000
)

// runRoster makes the node known: it asks the peers that it was given, puts
// its own row into the table and finds others there, until it has heard from
// one of them. Then it renews the row now and then.
func (n *Node) runRoster(ctx context.Context) {
	for _, j := range n.setup.Join {
		n.gossip.Join(j)
	}
	for !n.enter(ctx) {
		if !pause.For(ctx, joinMillis*time.Millisecond) {
			return
		}
	}
	every(ctx, renewCheckMillis, func() { n.renew(ctx) })
}

// enter tells whether the node has joined: it's in the table, and it has heard
// from another node or knows of none.
func (n *Node) enter(ctx context.Context) bool {
	bound, cancel := context.WithTimeout(ctx, rowMillis*time.Millisecond)
	defer cancel()
	others, err := n.roster.Register(bound, n.gossip.Self())
	if err != nil {
		n.log.Warn("node: the table can't be reached to join", "Error", err)
		return false
	}
	for _, m := range others {
		n.gossip.Learn(m)
	}
	return len(others) == 0 || n.gossip.LastSeenMillis() > 0
}

func (n *Node) renew(ctx context.Context) {
	if !n.roster.IsDue() {
		return
	}
	bound, cancel := context.WithTimeout(ctx, rowMillis*time.Millisecond)
	defer cancel()
	if err := n.roster.Renew(bound, n.gossip.Self(), n.isAlive); err != nil {
		n.log.Warn("node: the own row wasn't renewed", "Error", err)
	}
}

func (n *Node) isAlive(id string) bool {
	m, ok := n.gossip.Member(id)
	return ok && !m.Dead
}
