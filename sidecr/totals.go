package sidecr

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/meter"
	"bergamotloom.example/pause"
)

// totalsInterval is the time between two log lines of the totals.
const totalsInterval = 5 * time.Second

// BytesPrefix begins the names of the gauges of bytes between nodes.
const BytesPrefix = "bytes."

// Ways of bytes between nodes, in logs and metrics. What one node sends and another
// one receives is counted once: requests with their responses at the entry, messages
// of the mesh at their sender, a configuration at the node that fetches it.
const (
	hopsWay       = "Hops"
	cardsWay      = "Cards"
	configWay     = "Config"
	localSuffix   = "Local"
	remoteSuffix  = "Remote"
	unheardSuffix = "Unheard"
)

// logTotals logs in intervals what the node has cost since its start, until the
// context ends.
func (n *Sidecar) logTotals(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, totalsInterval)
		n.log.Info("node: totals", "StoreCalls", n.storeCounters(meter.CallsPrefix), "StoreFailed", n.storeCounters(meter.FailedPrefix), "Bytes", n.bytes())
	}
}

// storeCounters returns the counters of calls to the store whose names have the
// prefix, without it.
func (n *Sidecar) storeCounters(prefix string) map[string]int64 {
	counts := make(map[string]int64)
	n.registry.Each(func(name string, metric any) {
		c, isCounter := metric.(metrics.Counter)
		if call, ok := strings.CutPrefix(name, prefix); ok && isCounter {
			counts[call] = c.Count()
		}
	})
	return counts
}

// storeCalls returns the number of calls to the store since the start.
func (n *Sidecar) storeCalls() int64 {
	sum := int64(0)
	for _, count := range n.storeCounters(meter.CallsPrefix) {
		sum += count
	}
	return sum
}

// bytes returns how many bytes went between this node and others since its start, by
// purpose and by whether they went to another data centre.
func (n *Sidecar) bytes() map[string]int64 {
	centres := make(map[string]string)
	for _, c := range n.mesh.Cards() {
		centres[c.Hops] = c.Centre
	}
	all := make(map[string]int64)
	for address, count := range n.hops.Bytes() {
		centre, known := centres[address]
		switch {
		case !known:
			all[hopsWay+unheardSuffix] += count
		case centre == n.params.Centre:
			all[hopsWay+localSuffix] += count
		default:
			all[hopsWay+remoteSuffix] += count
		}
	}
	all[cardsWay+localSuffix], all[cardsWay+remoteSuffix], all[cardsWay+unheardSuffix] = n.mesh.SentBytes()
	all[configWay+localSuffix], all[configWay+remoteSuffix] = n.fetchedLocal.Load(), n.fetchedRemote.Load()
	return all
}
