package node

import (
	"context"
	"time"

	"bergamotloom.example/member"
	"bergamotloom.example/team"
)

const (
	controlIntervalMillis = 100
	updateIntervalMillis  = 100
	// tableWorkers is the number of goroutines for each kind of call to the
	// table.
	tableWorkers = 4
)

// startTasks starts the node's background tasks, each in a goroutine.
func (n *Node) startTasks() {
	n.runTask(n.gate.Run)
	n.runTask(n.rates.RunTicks)
	for range tableWorkers {
		n.runTask(n.rates.RunTable)
		n.runTask(n.claims.RunClaimWriter)
		n.runTask(n.claims.RunOutcomeWriter)
	}
	n.runTask(n.spread.RunMessages)
	n.runTask(n.spread.RunPolls)
	n.runTask(n.runControl)
	n.runTask(n.runUpdates)
	n.runTask(n.runMembership)
}

func (n *Node) runTask(work func(context.Context)) {
	n.group.Go(func() { work(n.tasks) })
}

// every calls work at each interval until the context ends.
func every(ctx context.Context, intervalMillis int64, work func()) {
	t := time.NewTicker(time.Duration(intervalMillis) * time.Millisecond)
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

// runControl runs the periodic work of gossip and of the distribution of the
// configuration, and checks the target and whether this node is confirmed dead.
func (n *Node) runControl(ctx context.Context) {
	every(ctx, controlIntervalMillis, func() {
		n.gossip.Tick()
		n.spread.Tick()
		n.checkTarget()
		if n.gossip.IsSelfConfirmedDead() && !n.leaving.Load() {
			n.confirmedDeadOnce.Do(func() { close(n.confirmedDead) })
		}
	})
}

// checkTarget notifies the peers when the target becomes silent or responds
// again.
func (n *Node) checkTarget() {
	self := n.gossip.Self()
	alive := n.target.Alive()
	switch {
	case self.Ready && !alive:
		n.log.Warn("node: the target is silent")
		n.gossip.Update(func(m member.Member) member.Member { return m.WithoutTarget() })
	case !self.Ready && alive && !n.leaving.Load():
		n.publishTarget()
	}
}

// runUpdates passes changes of teams and members to the parts that need them.
func (n *Node) runUpdates(ctx context.Context) {
	var version int64
	every(ctx, updateIntervalMillis, func() {
		if c := n.inForce.Current(); c.Version() != version {
			version = c.Version()
			n.quota.SetTeams(append([]team.Team(nil), c.Teams()...))
		}
		if n.membersChanged.Swap(false) {
			members := n.gossip.Members()
			n.dispatcher.Update(members)
			n.quota.SetMembers(members)
		}
	})
}
