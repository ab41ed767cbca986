package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"bergamotloom.example/platform/server"
)

// playPoison sends a request again and again that crashes each server which begins to run
// it: with the same path, caller and body, and another query each time.
func playPoison(b *bed, trouble bool) ([]string, error) {
	const (
		poisonPath   = "/boats/2f"
		crashDelay   = 30 * time.Millisecond
		restartDelay = 2 * time.Second
		poisonGap    = 1500 * time.Millisecond
		poisonCount  = 16
		goodGap      = 25 * time.Millisecond
		stability    = 3 * time.Second
		// mostRetries is how often it may reach a server later than stability after its
		// third crash.
		mostRetries  = 3
		freeCrashes  = 3
		serverCount  = 4
		goodPathBase = "/boats/"
	)
	if _, err := b.addMachine("lakes-z1", "guideshelf", nil); err != nil {
		return nil, err
	}
	var servers []*machine
	for i := range serverCount {
		m, err := b.addMachine(fmt.Sprintf("lakes-z%d", 1+i%3), "dockwatch", func(s *server.Server) {
			s.CrashDelay, s.RestartDelay = crashDelay, restartDelay
			if trouble {
				s.CrashPath = poisonPath
			}
		})
		if err != nil {
			return nil, err
		}
		servers = append(servers, m)
	}
	if err := b.putConfig(configuration{
		version:  7,
		routes:   []routeRow{{name: "r-boats", prefix: goodPathBase, kind: "safe", service: "dockwatch"}},
		services: []string{"dockwatch", "guideshelf"},
	}); err != nil {
		return nil, err
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	var (
		clients sync.WaitGroup
		done    = make(chan struct{})
		mutex   sync.Mutex
		counts  = make(map[int]int)
	)
	clients.Go(func() {
		for n := 0; ; n++ {
			clients.Go(func() {
				s := b.send(b.machines[n%len(b.machines)], http.MethodGet, fmt.Sprintf("%sg%d", goodPathBase, n), "")
				mutex.Lock()
				defer mutex.Unlock()
				counts[s.status]++
			})
			select {
			case <-done:
				return
			case <-time.After(goodGap):
			}
		}
	})
	var late []string
	crashes := 0
	var thirdAt time.Time
	for n := range poisonCount {
		sentAt := time.Now()
		s := b.send(b.machines[n%len(b.machines)], http.MethodGet, fmt.Sprintf("%s?sent=%d", poisonPath, sentAt.UnixMilli()), "")
		runs := 0
		for _, m := range servers {
			count, _ := m.server.Runs(s.id)
			runs += count
		}
		b.note("poison %d at %s: request %s ran %d times: %s", n+1, b.machines[n%len(b.machines)].name, s.id, runs, s.outcome())
		if trouble && runs > 0 && crashes >= freeCrashes && sentAt.Sub(thirdAt) > stability {
			late = append(late, fmt.Sprintf("BUDGET: request %s, sent %v after the third crash, crashed %d more servers", s.id, sentAt.Sub(thirdAt).Round(time.Millisecond), runs))
		}
		if before := crashes; before < freeCrashes && before+runs >= freeCrashes {
			thirdAt = time.Now()
		}
		crashes += runs
		time.Sleep(poisonGap)
	}
	close(done)
	clients.Wait()
	b.note("poison ran %d times; answers to other requests by status, 0 for none: %v", crashes, counts)
	if len(late) <= mostRetries {
		return nil, nil
	}
	return late, nil
}
