package sidecr

import (
	"fmt"
	"net/http"
	"runtime"
)

// MetricsPath is where the metrics port serves its figures.
const MetricsPath = "/metrics"

// metrics serves the node's figures as text, one a line.
func (n *Sidecar) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		running, waiting := n.gate.Load()
		known, heard := n.mesh.Heard()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		rows := []struct {
			name  string
			value int64
		}{
			{"config_version", n.follow.Version()},
			{"gate_running", int64(running)},
			{"gate_waiting", int64(waiting)},
			{"peers_known", int64(known)},
			{"peers_heard", int64(heard)},
			{"requests_active", n.active.Load()},
			{"target_connections_opened", n.pool.Opened()},
			{"heap_bytes", int64(memory.HeapAlloc)},
			{"goroutines", int64(runtime.NumGoroutine())},
		}
		for _, r := range rows {
			fmt.Fprintf(w, "loom_%s %d\n", r.name, r.value)
		}
	})
	return mux
}
