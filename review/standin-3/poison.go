package main

import (
	"fmt"
	"sync"
	"time"

	"bergamotloom.example/platform/server"
)

// poison is a request that crashes servers, as it comes again and again.
type poison struct {
	// variesQuery says that it has another query each time.
	variesQuery bool
	// kind and split are those of its route, all of whose requests go to the service whose
	// servers crash if there's no split.
	kind  string
	split []part
	// oneMachine says that it comes at the first machine only, where no other client is.
	oneMachine bool
	gap        time.Duration
	count      int
}

// playPoison sends a request that crashes each server which begins to run it: with the
// same path, caller and body, and another query each time.
func playPoison(b *bed, trouble bool) ([]string, error) {
	return b.playPoison(poison{variesQuery: true, kind: "safe", gap: 1500 * time.Millisecond, count: 16}, trouble)
}

// playCanary sends the same request again and again. Its route is split, and it crashes each
// server of one of the two services.
func playCanary(b *bed, trouble bool) ([]string, error) {
	split := []part{{"dockwatch", 30}, {"bookdesk", 70}}
	return b.playPoison(poison{kind: "unsafe", split: split, oneMachine: true, gap: 700 * time.Millisecond, count: 40}, trouble)
}

func (b *bed) playPoison(p poison, trouble bool) ([]string, error) {
	const (
		poisonPath   = "/boats/2f"
		crashDelay   = 30 * time.Millisecond
		restartDelay = 2 * time.Second
		goodGap      = 25 * time.Millisecond
		stability    = 3 * time.Second
		// mostRetries is how often it may reach a server later than stability after its
		// third crash.
		mostRetries  = 3
		freeCrashes  = 3
		serverCount  = 4
		soundCount   = 2
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
	for i := 0; i < soundCount && p.split != nil; i++ {
		if _, err := b.addMachine(fmt.Sprintf("lakes-z%d", 1+i), "bookdesk", nil); err != nil {
			return nil, err
		}
	}
	if err := b.putConfig(configuration{
		version:  7,
		routes:   []routeRow{{name: "r-boats", prefix: goodPathBase, kind: p.kind, service: "dockwatch", split: p.split}},
		services: []string{"dockwatch", "bookdesk", "guideshelf"},
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
				others := b.machines[1:]
				s := b.send(others[n%len(others)], fmt.Sprintf("%sg%d", goodPathBase, n))
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
	for n := range p.count {
		sentAt := time.Now()
		path := poisonPath
		if p.variesQuery {
			path += fmt.Sprintf("?sent=%d", sentAt.UnixMilli())
		}
		at := b.machines[n%len(b.machines)]
		if p.oneMachine {
			at = b.machines[0]
		}
		s := b.send(at, path)
		runs := 0
		for _, m := range servers {
			count, _ := m.server.Runs(s.id)
			runs += count
		}
		b.note("poison %d at %s: request %s ran %d times at a server that crashes: %s", n+1, at.name, s.id, runs, s.outcome())
		if trouble && runs > 0 && crashes >= freeCrashes && sentAt.Sub(thirdAt) > stability {
			late = append(late, fmt.Sprintf("BUDGET: request %s, sent %v after the third crash, crashed %d more servers", s.id, sentAt.Sub(thirdAt).Round(time.Millisecond), runs))
		}
		if before := crashes; before < freeCrashes && before+runs >= freeCrashes {
			thirdAt = time.Now()
		}
		crashes += runs
		time.Sleep(p.gap)
	}
	close(done)
	clients.Wait()
	b.note("poison ran %d times at servers that crash; answers to other requests by status, 0 for none: %v", crashes, counts)
	if len(late) <= mostRetries {
		return nil, nil
	}
	return late, nil
}
