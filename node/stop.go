package node

import (
	"context"
	"time"

	"bergamotloom.example/member"
)

const (
	// leaveNoticeMillis is the time for peers to learn that this node leaves.
	// Only after it does the gate refuse new requests, so that peers don't send
	// requests which are then refused.
	leaveNoticeMillis = 1500
	// pollIntervalMillis is the time between two checks for requests in flight.
	pollIntervalMillis = 20
	// lastMessagesMillis limits the removal of the node's row, and is the time
	// after it for the last messages to peers, and at least for the last responses.
	lastMessagesMillis = 200
)

// beginLeaving asks the peers to send no new requests. The gate refuses new
// ones leaveNoticeMillis later.
func (n *Node) beginLeaving() {
	if n.leaving.Swap(true) {
		return
	}
	n.log.Info("node: leaving")
	n.target.MarkLeaving()
	n.gossip.Update(func(m member.Member) member.Member { return m.WithLeaving() })
	n.gossip.Tick()
	n.group.Go(func() {
		select {
		case <-time.After(leaveNoticeMillis * time.Millisecond):
			n.gate.SetLeaving()
		case <-n.tasks.Done():
		}
	})
}

// stop shuts the node down gracefully: it waits for all requests in flight, up
// to the drain timeout, and then tells the peers and the table that the node
// has ended.
func (n *Node) stop() {
	n.beginLeaving()
	ctx, cancel := context.WithTimeout(n.tasks, time.Duration(n.setup.DrainMillis)*time.Millisecond)
	defer cancel()
	if err := n.ports.shutdown(ctx, n.ports.callers); err != nil {
		n.log.Warn("node: drain timeout, closing callers' connections with requests in flight", "Error", err)
	}
	n.waitIdle(ctx)
	if err := n.ports.shutdown(ctx, n.ports.local); err != nil {
		n.log.Warn("node: drain timeout, closing the target's connections with requests in flight", "Error", err)
	}
	n.gossip.Update(func(m member.Member) member.Member { return m.WithDead() })
	n.gossip.Tick()
	n.removeRow()
	time.Sleep(lastMessagesMillis * time.Millisecond)
	n.ports.close()
	n.waitLingering(ctx)
	n.log.Info("node: stopped")
}

// waitLingering waits until callers and peers have received their responses, or until the
// context ends, but no shorter than lastMessagesMillis. The end of the process resets the
// connections that still have unread bytes.
func (n *Node) waitLingering(ctx context.Context) {
	last, cancel := context.WithTimeout(n.tasks, lastMessagesMillis*time.Millisecond)
	defer cancel()
	n.ports.linger.Wait(ctx)
	n.ports.linger.Wait(last)
	lingering, lingered, cut := n.ports.linger.Counts()
	n.log.Info("node: connections closed", "Lingered", lingered, "Lingering", lingering, "Cut", cut)
}

// removeRow removes the node's row from the table. If that fails, the row is
// removed when its lease has expired.
func (n *Node) removeRow() {
	ctx, cancel := context.WithTimeout(n.tasks, lastMessagesMillis*time.Millisecond)
	defer cancel()
	if err := n.roster.Deregister(ctx, n.gossip.Self().ID); err != nil {
		n.log.Warn("node: removing the node's row failed", "Error", err)
	}
}

// waitIdle waits for leaveNoticeMillis, as peers may still send requests, and
// then until no request runs or waits at the gate, or until the context ends.
func (n *Node) waitIdle(ctx context.Context) {
	notice := time.After(leaveNoticeMillis * time.Millisecond)
	select {
	case <-notice:
	case <-ctx.Done():
		return
	}
	for {
		running, waiting, _ := n.gate.Load()
		if running == 0 && waiting == 0 {
			return
		}
		select {
		case <-ctx.Done():
			n.log.Warn("node: drain timeout, requests are still running", "Running", running)
			return
		case <-time.After(pollIntervalMillis * time.Millisecond):
		}
	}
}
