package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"bergamotloom.example/platform/server"
)

// playGrace shortens the grace in the settings file of a running node, tells the node so
// with SIGHUP, and then stops it as planned, with the grace that the file has.
func playGrace(b *bed, trouble bool) ([]string, error) {
	const (
		longGrace, shortGrace = "10s", "6s"
		grace                 = 6 * time.Second
		runTime               = 800 * time.Millisecond
		interval              = 250 * time.Millisecond
		clientCount           = 4
		// sentLate is how long after SIGTERM a request must be sent to count also if its
		// server is at work in the last sixth of the grace.
		sentLate = 3 * time.Second
	)
	graceAtStart := shortGrace
	if trouble {
		graceAtStart = longGrace
	}
	stopped, err := b.addMachine("lakes-z1", "guideshelf", graceAtStart, nil)
	if err != nil {
		return nil, err
	}
	var desks []*machine
	for range 2 {
		m, err := b.addMachine("lakes-z2", "bookdesk", graceAtStart, func(s *server.Server) { s.RunTime = runTime })
		if err != nil {
			return nil, err
		}
		desks = append(desks, m)
	}
	if err := b.putConfig(configuration{
		version:  7,
		routes:   []routeRow{{name: "r-hire", prefix: "/hire/", kind: "unsafe", service: "bookdesk"}},
		services: []string{"bookdesk", "guideshelf"},
	}); err != nil {
		return nil, err
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	// The clients of a machine go on to send to it while fewer than half of the nodes of
	// its zone are ready: here its node is the only one.
	var (
		mutex    sync.Mutex
		requests []sent
		clients  sync.WaitGroup
		done     = make(chan struct{})
	)
	for range clientCount {
		clients.Go(func() {
			for {
				clients.Go(func() {
					s := b.send(stopped, http.MethodPost, "/hire/2f", "boat=4")
					b.note("client: request %s: %s", s.id, s.outcome())
					mutex.Lock()
					defer mutex.Unlock()
					requests = append(requests, s)
				})
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		stopped.grace = shortGrace
		if err := stopped.writeSettings(); err != nil {
			return nil, err
		}
		b.note("%s: the settings file has grace %s now", stopped.name, shortGrace)
		stopped.signal(syscall.SIGHUP)
		// Longer than stability.
		time.Sleep(4 * time.Second)
	}
	terminatedAt := time.Now()
	stopped.signal(syscall.SIGTERM)
	if !stopped.awaitEnd(time.Until(terminatedAt.Add(grace))) {
		stopped.signal(syscall.SIGKILL)
		stopped.awaitEnd(time.Second)
	}
	close(done)
	clients.Wait()
	var broken []string
	for _, s := range requests {
		runs := 0
		for _, m := range desks {
			count, _ := m.server.Runs(s.id)
			runs += count
		}
		since := s.sentAt.Sub(terminatedAt)
		if s.status != 0 || runs == 0 || since < sentLate || s.endedAt.Sub(s.sentAt) >= deadline {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: request %s, sent %v after SIGTERM, ran %d times and its connection ended without an answer %v after SIGTERM: %v",
			s.id, since.Round(time.Millisecond), runs, s.endedAt.Sub(terminatedAt).Round(time.Millisecond), s.err))
	}
	return broken, nil
}
