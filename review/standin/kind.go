package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// kindRounds is how many requests are sent on each route, in less than 6 s.
	kindRounds = 160
	// lostEvery is the divisor that gives how many runs at the first server lose their
	// answers.
	lostEvery = 4
	kindDelay = 8 * time.Millisecond
)

// kindPaths are the routes of the case by their prefixes, with their kinds; the empty one
// is omitted in the configuration. Requests on any of them may run once at most.
var kindPaths = []struct{ prefix, kind string }{{"/plain/", ""}, {"/keyed/", "keyed"}, {"/order/", "unsafe"}}

// kind sends requests on routes that are neither safe nor downloads, to two servers of which
// one runs some of them and loses the answers.
func kind(b *bed, trouble bool) (int, error) {
	var mutex sync.Mutex
	runs := make(map[string]int)
	total := 0
	handle := func(s *server, c net.Conn, r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		id := r.Header.Get(names.RequestID)
		mutex.Lock()
		runs[id]++
		lost := false
		if trouble && s.id == "i-0" {
			total++
			lost = total%lostEvery == 0
		}
		mutex.Unlock()
		s.record.line("server %s: %s is run with the body %q, its answer is lost: %t", s.id, id, body, lost)
		if lost {
			// Closing with unread bytes or without linger resets the connection.
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return false
		}
		s.respond(c, r, http.StatusOK, []byte("done "+id))
		return true
	}
	var routes []routeRow
	for _, p := range kindPaths {
		routes = append(routes, routeRow{p.prefix[1 : len(p.prefix)-1], p.prefix, p.kind, "desk", time.Second, 2})
	}
	b.configure([]string{"desk"}, routes...)
	for i := range 2 {
		n, err := b.addNode("desk")
		if err != nil {
			return 0, err
		}
		s, err := startServer(n, fmt.Sprintf("i-%d", i), "desk", handle)
		if err != nil {
			return 0, err
		}
		defer s.exit()
		s.startBeats()
	}
	for _, n := range b.nodes {
		if err := n.waitServing("/order/0"); err != nil {
			return 0, err
		}
	}
	twice := make(map[string]int)
	violations := 0
	b.record.line("client: the first request begins")
	for i := range kindRounds {
		for _, p := range kindPaths {
			id := fmt.Sprintf("%s%03d", p.prefix[1:3], i)
			body := "order of " + id
			a := request(b.nodes[i%2], http.MethodPost, p.prefix+id, id, time.Second, fmt.Sprintf("Content-Length: %d\r\n", len(body)), func(w io.Writer) {
				_, _ = io.WriteString(w, body)
			})
			mutex.Lock()
			count := runs[id]
			mutex.Unlock()
			b.record.line("client: %s got %v; it ran %d times", id, a, count)
			if count > 1 {
				twice[p.prefix]++
				violations++
			}
			time.Sleep(kindDelay)
		}
	}
	for _, p := range kindPaths {
		b.record.line("route %s of the kind %q: %d of %d requests ran more than once", p.prefix, p.kind, twice[p.prefix], kindRounds)
	}
	return violations, nil
}
