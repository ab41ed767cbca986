package node

import (
	"context"
	"time"

	"bergamotloom.example/member"
)

const (
	// noticeMillis is how long peers have to learn that this node leaves. Only
	// then does its gate refuse new work, so that no request comes in vain.
	noticeMillis = 1500
	quietMillis  = 20
	// farewellMillis is how long the last messages may take.
	farewellMillis = 200
)

// beginLeaving tells the peers that no new work should come, and closes the
// gate to it a little later.
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
		case <-time.After(noticeMillis * time.Millisecond):
			n.gate.SetLeaving()
		case <-n.duties.Done():
		}
	})
}

// stop is the planned stop: it waits for all requests in flight, up to the
// drain bound, and then says goodbye.
func (n *Node) stop() {
	n.beginLeaving()
	ctx, cancel := context.WithTimeout(n.duties, time.Duration(n.setup.DrainMillis)*time.Millisecond)
	defer cancel()
	if err := n.ports.shutdown(ctx, n.ports.callers); err != nil {
		n.log.Warn("node: callers were cut off at the drain bound", "Error", err)
	}
	n.awaitQuiet(ctx)
	if err := n.ports.shutdown(ctx, n.ports.local); err != nil {
		n.log.Warn("node: calls of the target were cut off at the drain bound", "Error", err)
	}
	n.gossip.Update(func(m member.Member) member.Member { return m.WithDead() })
	n.gossip.Tick()
	n.sayGoodbye()
	time.Sleep(farewellMillis * time.Millisecond)
	n.log.Info("node: stopped")
}

// sayGoodbye takes the node's row out of the table. Without it the row goes
// when its lease has run out.
func (n *Node) sayGoodbye() {
	ctx, cancel := context.WithTimeout(n.duties, farewellMillis*time.Millisecond)
	defer cancel()
	if err := n.roster.Deregister(ctx, n.gossip.Self().ID); err != nil {
		n.log.Warn("node: the own row stays in the table", "Error", err)
	}
}

// awaitQuiet waits until the notice has passed and nothing runs at the target.
func (n *Node) awaitQuiet(ctx context.Context) {
	notice := time.After(noticeMillis * time.Millisecond)
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
			n.log.Warn("node: requests were cut off at the drain bound", "Running", running)
			return
		case <-time.After(quietMillis * time.Millisecond):
		}
	}
}
