package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/platform/rows"
)

// storeHost and clientHost are the last bytes of the loopback addresses of the store and
// of the clients; machines have theirs from 1 on.
const (
	storeHost  = 250
	clientHost = 251
)

// bed is a small deployment on loopback addresses: the store, machines and clients.
type bed struct {
	binary   string
	folder   string
	prefix   string
	store    *rows.Store
	storeAt  string
	machines []*machine
	began    time.Time

	mutex  sync.Mutex
	record *os.File
}

// newBed starts the store. The record is written to the file at this path.
func newBed(binary, recordPath string) (*bed, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	b := &bed{
		binary: binary, folder: folder, record: record, store: rows.New(), began: time.Now(),
		prefix: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", b.address(storeHost, 0))
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	b.storeAt = l.Addr().String()
	s := &http.Server{Handler: withoutEra(b.store.Handler()), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	return b, nil
}

// withoutEra drops the header of the store's era, which the pages in force don't have.
func withoutEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&eraWriter{w}, r)
	})
}

type eraWriter struct{ http.ResponseWriter }

func (w *eraWriter) WriteHeader(status int) {
	w.Header().Del(rows.EraHeader)
	w.ResponseWriter.WriteHeader(status)
}

func (b *bed) address(host, port int) string {
	return fmt.Sprintf("%s%d:%d", b.prefix, host, port)
}

// note writes one line to the record, with the time in seconds since the start.
func (b *bed) note(format string, args ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, m := range b.machines {
		m.end()
	}
	_ = os.RemoveAll(b.folder)
	_ = b.record.Close()
}

// putConfig writes a configuration as the operator.
func (b *bed) putConfig(c configuration) error {
	content, err := json.Marshal(c.document())
	if err != nil {
		return errors.Wrap(err, "configuration")
	}
	b.store.Put("op", "config", content)
	b.note("operator: configuration %08x acknowledged: %s", c.version, content)
	return nil
}

// awaitReady waits until all nodes say that they're ready, and gives them some seconds
// more to hear of each other.
func (b *bed) awaitReady() error {
	const timeout, settle = 15 * time.Second, 4 * time.Second
	for end := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		missing := 0
		for _, m := range b.machines {
			if !m.isReady() {
				missing++
			}
		}
		if missing == 0 {
			time.Sleep(settle)
			b.note("all nodes are ready")
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("%d nodes aren't ready", missing)
		}
	}
}

// startAll starts the nodes of all machines.
func (b *bed) startAll() error {
	for _, m := range b.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

// configuration is one version of the operator's configuration.
type configuration struct {
	version  int
	routes   []routeRow
	services []string
}

// routeRow is a route; Split has services and weights in turn.
type routeRow struct {
	name, prefix, kind, service string
	split                       []part
}

type part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

const (
	hostName  = "shop.example"
	tenantKey = "6wsjnbanfqasnmgkcuyj"
)

// document returns the configuration in the operator's format.
func (c configuration) document() map[string]any {
	var routes, services [][]any
	for _, r := range c.routes {
		var split, service any
		if r.split != nil {
			split = r.split
		} else {
			service = r.service
		}
		routes = append(routes, []any{r.name, hostName, r.prefix, r.kind, "5000ms", "1500ms", 1, split, 2, false, service})
	}
	for _, s := range c.services {
		services = append(services, []any{s, "/health", 460, "h1", false})
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", c.version),
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "prefix", "kind", "timeout", "target_latency", "priority", "traffic_split", "max_attempts", "public", "service"},
			"rows":    routes,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": services},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"},
			"rows":    [][]any{{"pulo780", []string{tenantKey}, 1, 0, 0}},
		},
	}
}
