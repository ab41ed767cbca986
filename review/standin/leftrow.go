package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bergamotloom.example/platform/rows"
)

const (
	// outage is how long the store is down, as in the site file.
	outage = 4500 * time.Millisecond
	// drainTime is the bound drain of the settings, recoveryTime the bound recovery.
	drainTime    = 2 * time.Second
	recoveryTime = 15 * time.Second
	// probes is how many requests are sent before the fault, and after the recovery.
	probes     = 40
	probeDelay = 100 * time.Millisecond
	// downTime is how long killed processes are down.
	downTime = time.Second
)

// leftrow restarts all servers of a service under their own IDs, as planned, while the
// store is down. Later all nodes are killed and start again.
func leftrow(b *bed, trouble bool) (int, error) {
	b.configure([]string{"desk"}, routeRow{"stock", "/stock/", "safe", "desk", time.Second, 2})
	var servers []*server
	for i := range 2 {
		n, err := b.addNode("desk")
		if err != nil {
			return 0, err
		}
		s, err := startServer(n, fmt.Sprintf("i-%d", i), "desk", serveShort)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
		s.startBeats()
	}
	defer func() {
		for _, s := range servers {
			s.exit()
		}
	}()
	for _, n := range b.nodes {
		if err := n.waitServing("/stock/0"); err != nil {
			return 0, err
		}
	}
	if trouble {
		b.store.SetFault(rows.Busy)
		b.record.line("store: down, answers 503")
	}
	back := time.AfterFunc(outage, func() {
		b.store.SetFault(rows.Healthy)
		b.record.line("store: serves")
	})
	defer back.Stop()
	for i, s := range servers {
		restarted, err := s.restart(serveShort)
		if err != nil {
			return 0, err
		}
		servers[i] = restarted
	}
	time.Sleep(outage)
	before := b.countServed("before")
	for _, n := range b.nodes {
		n.kill()
	}
	time.Sleep(downTime)
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return 0, err
		}
	}
	time.Sleep(recoveryTime)
	after := b.countServed("after")
	b.record.line("of %d requests %d were served before the final fault, and of %d sent later than %v after the restart %d", probes, before, probes, recoveryTime, after)
	if before*4 < probes {
		return 0, fmt.Errorf("only %d of %d requests were served before the fault", before, probes)
	}
	if after*4 < probes {
		return 1, nil
	}
	return 0, nil
}

// serveShort runs a request at once.
func serveShort(s *server, c net.Conn, r *http.Request) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	id := r.Header.Get(names.RequestID)
	s.ran(id)
	s.record.line("server %s: %s is run", s.id, id)
	s.respond(c, r, http.StatusOK, []byte("done "+id))
	return true
}

// restart drains the server, ends it, and starts it again under its ID.
func (s *server) restart(handle func(s *server, c net.Conn, r *http.Request) bool) (*server, error) {
	s.stopBeats()
	s.state.Store("draining")
	s.record.line("server %s: says that it drains, acknowledged: %t", s.id, s.beat())
	time.Sleep(drainTime)
	s.record.line("server %s: leaves, acknowledged: %t", s.id, s.leave())
	s.exit()
	restarted, err := startServer(s.node, s.id, s.service, handle)
	if err != nil {
		return nil, err
	}
	restarted.startBeats()
	return restarted, nil
}

// countServed sends requests and returns how many were served.
func (b *bed) countServed(prefix string) int {
	served := 0
	for i := range probes {
		id := fmt.Sprintf("%s%02d", prefix, i)
		a := request(b.nodes[i%len(b.nodes)], http.MethodGet, "/stock/"+id, id, time.Second, "", nil)
		b.record.line("client: %s got %v", id, a)
		if a.err == nil && a.signed && a.status == http.StatusOK {
			served++
		}
		time.Sleep(probeDelay)
	}
	return served
}
