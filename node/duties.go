package node

import (
	"context"
	"time"

	"bergamotloom.example/member"
	"bergamotloom.example/team"
)

const (
	controlMillis = 100
	updateMillis  = 100
	tableWorkers  = 4
)

// startDuties starts the node's background work, a goroutine for each duty.
func (n *Node) startDuties() {
	n.duty(n.gate.Run)
	n.duty(n.rates.RunTicks)
	for range tableWorkers {
		n.duty(n.rates.RunTable)
		n.duty(n.claims.RunClaimWriter)
		n.duty(n.claims.RunOutcomeWriter)
	}
	n.duty(n.spread.RunMessages)
	n.duty(n.spread.RunPolls)
	n.duty(n.runControl)
	n.duty(n.runUpdates)
	n.duty(n.runRoster)
}

func (n *Node) duty(work func(context.Context)) {
	n.group.Go(func() { work(n.duties) })
}

// every calls the work at each interval until the context ends.
func every(ctx context.Context, millis int64, work func()) {
	t := time.NewTicker(time.Duration(millis) * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			work()
		}
	}
}

// runControl drives the membership and watches over the target.
func (n *Node) runControl(ctx context.Context) {
	every(ctx, controlMillis, func() {
		n.gossip.Tick()
		n.spread.Tick()
		n.watchTarget()
		if n.gossip.IsSelfConfirmedDead() && !n.leaving.Load() {
			n.endedOnce.Do(func() { close(n.ended) })
		}
	})
}

// watchTarget tells the peers when the target went silent or came back.
func (n *Node) watchTarget() {
	self := n.gossip.Self()
	alive := n.target.Alive()
	switch {
	case self.Ready && !alive:
		n.log.Warn("node: the target is silent")
		n.gossip.Update(func(m member.Member) member.Member { return m.WithoutTarget() })
	case !self.Ready && alive && !n.leaving.Load():
		n.tellReady()
	}
}

// runUpdates passes changed members and teams on to those who decide by them.
func (n *Node) runUpdates(ctx context.Context) {
	var version int64
	every(ctx, updateMillis, func() {
		if c := n.store.Current(); c.Version() != version {
			version = c.Version()
			n.quota.SetTeams(append([]team.Team(nil), c.Teams()...))
		}
		if n.changed.Swap(false) {
			all := n.gossip.Members()
			n.dispatcher.Update(all)
			n.quota.SetMembers(all)
		}
	})
}
