package main

import (
	"fmt"
	"sync"
	"time"
)

// load is the requests of clients at all machines.
type load struct {
	bed     *bed
	clients sync.WaitGroup
	done    chan struct{}
	mutex   sync.Mutex
	sent    []sent
}

// startLoad sends requests at all machines, each gap apart.
func (b *bed) startLoad(path string, gap time.Duration) *load {
	l := &load{bed: b, done: make(chan struct{})}
	for _, m := range b.machines {
		l.clients.Go(func() {
			for {
				l.clients.Go(func() {
					s := b.send(m, path)
					l.mutex.Lock()
					defer l.mutex.Unlock()
					l.sent = append(l.sent, s)
				})
				select {
				case <-l.done:
					return
				case <-time.After(gap):
				}
			}
		})
	}
	return l
}

// late ends the load and returns the requests that reached the server of a machine after
// that moment and were sent after the other one.
func (l *load) late(leaver *machine, reachedAfter, sentAfter time.Time) []string {
	close(l.done)
	l.clients.Wait()
	counts := make(map[int]int)
	var broken []string
	for _, s := range l.sent {
		counts[s.status]++
		runs, _ := leaver.server.Runs(s.id)
		// The run begins between the last byte of the request and its answer.
		if runs == 0 || s.sentAt.Before(reachedAfter) || s.sentAt.Before(sentAfter) {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent %v after the end of the drain time, reached %s: %s",
			s.id, s.sentAt.Sub(reachedAfter).Round(time.Millisecond), leaver.server.ID, s.outcome()))
	}
	runsThere, _ := leaver.server.Runs("")
	l.bed.note("answers by status, 0 for none: %v; runs at %s: %d", counts, leaver.server.ID, runsThere)
	return broken
}
