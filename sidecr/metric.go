package sidecr

import (
	"fmt"
	"net/http"
	"runtime"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// MetricsPath is the path of the metrics on the metrics port.
const MetricsPath = "/metrics"

// refusedPath is the path of the list of requests that are refused because they
// crashed targets.
const refusedPath = "/refused"

// milli is how many thousandths make a whole: gauges hold whole numbers.
const milli = 1000

const wholePercent = 100

// quantiles are reported for each histogram.
var quantiles = []float64{0.5, 0.99, 0.999}

// metrics serves counters, gauges and histograms as text, one value a line.
func (n *Sidecar) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		n.updateGauges()
		var lines []string
		n.registry.Each(func(name string, metric any) {
			lines = append(lines, metricLines(name, metric)...)
		})
		sort.Strings(lines)
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
	})
	mux.HandleFunc("GET "+refusedPath, func(w http.ResponseWriter, _ *http.Request) {
		refused, _ := n.suspects.Refused()
		for _, f := range refused {
			fmt.Fprintln(w, f, strings.Join(n.suspects.Crashes(f), "; "))
		}
	})
	return mux
}

// metricLines returns the lines of one metric.
func metricLines(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		lines := []string{fmt.Sprintf("%s.count %d", name, s.Count()), fmt.Sprintf("%s.max %d", name, s.Max())}
		for i, v := range s.Percentiles(quantiles) {
			lines = append(lines, fmt.Sprintf("%s.p%g %.1f", name, quantiles[i]*100, v))
		}
		return lines
	}
	return nil
}

func (n *Sidecar) updateGauges() {
	running, waiting := n.gate.Load()
	peers, live := n.mesh.PeerCounts()
	rateLimit, _, rateLimitAgeMillis := n.gate.RateLimit()
	refusedForRate, delayedForRate := n.gate.RateCosts()
	refusedRequests, suspectRequests := n.suspects.Refused()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	for name, value := range map[string]int64{
		"config.version": n.follow.Version(),
		"store.calls":    n.storeCalls(),
		// -1 before the first response.
		"config.response.age.millis": n.follow.SinceResponseMillis(),
		"config.age.millis":          n.follow.AgeMillis(),
		"store.era":                  n.store.Era(),
		// -1 until the node's row is written for the first time.
		"store.written.era": n.writtenEra.Load(),
		"store.rewritten":   n.rewritten.Load(),
		"gate.running":      int64(running),
		"gate.waiting":      int64(waiting),
		// In thousandths of a request per second; 0 without a limit.
		"gate.limit.rate.milli": int64(rateLimit * milli),
		"gate.limit.age.millis": int64(rateLimitAgeMillis),
		// In thousandths of a request per second; 0 if the target isn't in its cold start.
		"gate.cold.rate.milli": int64(n.gate.ColdRate() * milli),
		// 0 if the target doesn't report its speed.
		"gate.slowness.percent": int64(n.gate.Slowness() * wholePercent),
		"gate.limit.refused":    refusedForRate,
		"gate.limit.delayed":    delayedForRate,
		"limits.known":          int64(n.picker.RateLimits()),
		"target.connections":    n.pool.Opened(),
		"hops.idle":             int64(n.hops.Idle()),
		"bodies.bytes":          n.intake.HeldBytes(),
		"heads.bytes":           n.guard.HeldBytes(),
		"heads.refused":         n.guard.Refused(),
		"peers.known":           int64(peers),
		"peers.heard":           int64(live),
		"requests.active":       n.active.Load(),
		"requests.refused":      int64(len(refusedRequests)),
		"requests.suspect":      int64(suspectRequests),
		"process.heap.bytes":    int64(memory.HeapAlloc),
		"process.goroutines":    int64(runtime.NumGoroutine()),
	} {
		metrics.GetOrRegisterGauge(name, n.registry).Update(value)
	}
	for way, bytes := range n.bytes() {
		metrics.GetOrRegisterGauge(BytesPrefix+way, n.registry).Update(bytes)
	}
	for service, fraction := range n.picker.SpillFractions() {
		// In thousandths of the requests.
		metrics.GetOrRegisterGauge("spill.fraction.milli."+service, n.registry).Update(int64(fraction * milli))
	}
	accepting := int64(0)
	if n.accepting.Load() {
		accepting = 1
	}
	metrics.GetOrRegisterGauge("callers.accepting", n.registry).Update(accepting)
	lingering, lingered, cut := n.linger.Counts()
	for name, value := range map[string]int64{"lingering": int64(lingering), "lingered": lingered, "cut": cut} {
		metrics.GetOrRegisterGauge("connections."+name, n.registry).Update(value)
	}
	n.updatePortGauges()
	n.updateEvacuationGauges()
}

// updatePortGauges updates the gauges of the connections at each port.
func (n *Sidecar) updatePortGauges() {
	for port, a := range n.ports {
		open, accepted, failed := a.Counts()
		closedIdle, closedNew := a.Closed()
		for name, value := range map[string]int64{
			"open":           int64(open),
			"accepted":       accepted,
			"errors":         failed,
			"closed.idle":    closedIdle,
			"closed.new":     closedNew,
			"waiting":        int64(a.Waiting()),
			"failing.millis": a.FailingMillis(),
		} {
			metrics.GetOrRegisterGauge("port."+port+"."+name, n.registry).Update(value)
		}
	}
}
