// Package duty decides which nodes of a fleet call the store for all others: a few
// watch it for changes and tell the rest, and the first of these also confirms when there
// are none. While a watcher can't reach the store, the next node takes over, and a few of
// those that can't reach it look for its return.
//
// The load of the store then follows what changes, and not the number of nodes.
package duty

import "bergamotloom.example/card"

const (
	// watcherCount is the number of nodes that watch the store. Several are needed, as
	// a watcher may have died or been cut off within the time after which its peers
	// notice that.
	watcherCount = 4
	// candidateCount bounds how many nodes try to watch the store. If none of so many
	// reaches it, it's away.
	candidateCount = 16
	// proberCount is the number of nodes that look for the return of the store.
	proberCount = 2
)

// Duty is what one node does for the fleet. It's a value.
type Duty struct {
	// Watches says that the node watches the store.
	Watches bool
	// Probes says that the node, which can't reach the store, tries again and again.
	Probes bool
	// Leads says that the node is the first of those that watch the store, which confirms
	// for all others that nothing has changed.
	Leads bool
	// Covered says that enough nodes before this one reach the store.
	Covered bool
	// Reaching and Losing are the numbers of nodes before this one that reach the store
	// and that don't, which decided it.
	Reaching int
	Losing   int
	// Live is the number of peers that aren't silent.
	Live int
}

// Of returns the duty of the node that peers know as self, by the cards of its peers
// that aren't silent. Lost says that it couldn't reach the store when it last tried.
// Nodes are ordered by the hashes of their addresses, so that each one finds its
// place without asking others.
func Of(self string, lost bool, live []card.Card) Duty {
	own := card.Hash(self)
	reaching, losing := 0, 0
	for _, c := range live {
		switch {
		case card.Hash(c.Peers) >= own:
		case c.StoreLost:
			losing++
		default:
			reaching++
		}
	}
	d := Duty{Reaching: reaching, Losing: losing, Live: len(live), Covered: reaching >= watcherCount}
	if lost {
		d.Probes = losing < proberCount
	} else {
		d.Watches = reaching < watcherCount && reaching+losing < candidateCount
		d.Leads = d.Watches && reaching == 0
	}
	return d
}
