package main

import (
	"context"
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

const (
	firstNetwork = 64
	networkCount = 128
	octetCount   = 256
	guardHost    = 254
	guardPort    = 7000
	networkTries = 20

	serveTimeout = 15 * time.Second
	defaultGrace = 6 * time.Second
)

// fleet is a small deployment: the store and some machines on a loopback network of their own.
type fleet struct {
	binary   string
	rec      *record
	folder   string
	prefix   string
	guard    net.Listener
	store    *rows.Store
	storeURL string
	http     *http.Server
	machines []*machine
	group    sync.WaitGroup
	context  context.Context
	cancel   context.CancelFunc
	version  int
	// grace is the grace period in the settings.
	grace time.Duration
}

func newFleet(binary string, rec *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, errors.Wrap(err, "fleet")
	}
	f := &fleet{binary: binary, rec: rec, folder: folder, store: rows.New(), grace: defaultGrace}
	f.context, f.cancel = context.WithCancel(context.Background())
	if err := f.holdNetwork(); err != nil {
		return nil, err
	}
	l, err := new(net.ListenConfig).Listen(f.context, "tcp", f.host(guardHost)+":0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	f.storeURL = l.Addr().String()
	f.http = &http.Server{Handler: withoutEra(f.store.Handler()), ReadHeaderTimeout: time.Second}
	f.group.Go(func() { _ = f.http.Serve(l) })
	return f, nil
}

// withoutEra removes a header of the store that the pages in force do not have.
func withoutEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(eraRemover{w}, r)
	})
}

type eraRemover struct{ http.ResponseWriter }

// WriteHeader sends the header without the era.
func (e eraRemover) WriteHeader(status int) {
	e.Header().Del(rows.EraHeader)
	e.ResponseWriter.WriteHeader(status)
}

// holdNetwork holds a random loopback network, so that runs do not share addresses.
func (f *fleet) holdNetwork() error {
	var err error
	for range networkTries {
		f.prefix = fmt.Sprintf("127.%d.%d", firstNetwork+rand.IntN(networkCount), rand.IntN(octetCount))
		f.guard, err = new(net.ListenConfig).Listen(f.context, "tcp", fmt.Sprintf("%s:%d", f.host(guardHost), guardPort))
		if err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "holding a loopback network")
}

func (f *fleet) host(number int) string {
	return fmt.Sprintf("%s.%d", f.prefix, number)
}

// configure writes the next version of the configuration, as the operator does.
func (f *fleet) configure(routes string) {
	f.version++
	f.store.Put("op", "config", fmt.Appendf(nil, `{"version":"%08x","routes":{"columns":["name","hostname","prefix","kind","timeout","target_latency","priority","traffic_split","max_attempts","public","service"],"rows":[%s]},`+
		`"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["docs","/health",400,"h1",false],["desk","/health",400,"h1",false]]},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},`+
		`"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["north",["key-north"],1,0,0]]}}`, f.version, routes))
	f.rec.line("config version %08x written", f.version)
}

// waitReady waits until the readiness checks of all machines succeed and each of them
// has served a request of this route.
func (f *fleet) waitReady(path string) error {
	until := time.Now().Add(serveTimeout)
	for _, m := range f.machines {
		for i := 0; ; i++ {
			if m.ready() && m.probe(path, i) {
				break
			}
			if time.Now().After(until) {
				return errors.Errorf("%s does not serve", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.rec.line("all machines serve")
	return nil
}

// runs counts how often each request ran, over all servers.
func (f *fleet) runs() map[string]int {
	counts := make(map[string]int)
	for _, m := range f.machines {
		for id, n := range m.server.RunsByID() {
			counts[id] += n
		}
	}
	return counts
}

func (f *fleet) close() {
	f.cancel()
	for _, m := range f.machines {
		m.close()
	}
	_ = f.http.Close()
	_ = f.guard.Close()
	f.group.Wait()
	_ = os.RemoveAll(f.folder)
}
