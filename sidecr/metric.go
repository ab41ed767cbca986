package sidecr

import (
	"fmt"
	"net/http"
	"runtime"
	"sort"

	"github.com/rcrowley/go-metrics"
)

// MetricsPath is where the metrics port serves its figures.
const MetricsPath = "/metrics"

// quantiles are those that are told of each histogram.
var quantiles = []float64{0.5, 0.99, 0.999}

// metrics serves counters, gauges and latencies as text, a figure a line.
func (n *Sidecar) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		n.updateGauges()
		var lines []string
		n.registry.Each(func(name string, figure any) {
			lines = append(lines, figureLines(name, figure)...)
		})
		sort.Strings(lines)
		for _, l := range lines {
			fmt.Fprintln(w, l)
		}
	})
	return mux
}

// figureLines returns the lines of one figure.
func figureLines(name string, figure any) []string {
	switch f := figure.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, f.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, f.Value())}
	case metrics.Histogram:
		s := f.Snapshot()
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
	known, heard := n.mesh.PeerCounts()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	for name, value := range map[string]int64{
		"config.version":     n.follow.Version(),
		"store.calls":        n.follow.Calls(),
		"gate.running":       int64(running),
		"gate.waiting":       int64(waiting),
		"target.connections": n.pool.Opened(),
		"peers.known":        int64(known),
		"peers.heard":        int64(heard),
		"requests.active":    n.active.Load(),
		"process.heap.bytes": int64(memory.HeapAlloc),
		"process.goroutines": int64(runtime.NumGoroutine()),
	} {
		metrics.GetOrRegisterGauge(name, n.registry).Update(value)
	}
}
