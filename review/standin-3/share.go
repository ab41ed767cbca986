package main

import (
	"fmt"
	"sync"
	"time"
)

// playShare changes the weights of split routes. The new version also lists a service that
// has the weight 0.
func playShare(b *bed, trouble bool) ([]string, error) {
	const (
		routeCount = 12
		interval   = 20 * time.Millisecond
		settle     = 4 * time.Second
	)
	services := []string{"dockwatch", "bookdesk", "guideshelf", "dockwatch-next"}
	for i, service := range services {
		if _, err := b.addMachine(fmt.Sprintf("lakes-z%d", i+1), service, nil); err != nil {
			return nil, err
		}
	}
	idle := b.machines[len(b.machines)-1]
	version := func(number int, weights [3]int, withIdle bool) configuration {
		c := configuration{version: number, services: services}
		for i := range routeCount {
			split := []part{{services[0], weights[0]}, {services[1], weights[1]}, {services[2], weights[2]}}
			if withIdle {
				split = append(split, part{services[3], 0})
			}
			c.routes = append(c.routes, routeRow{name: fmt.Sprintf("r-%d", i), prefix: fmt.Sprintf("/path%d/", i), kind: "unsafe", split: split})
		}
		return c
	}
	if err := b.putConfig(version(7, [3]int{40, 30, 30}, false)); err != nil {
		return nil, err
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	var (
		clients sync.WaitGroup
		done    = make(chan struct{})
		mutex   sync.Mutex
		foreign []string
		counts  = make(map[int]int)
	)
	for _, m := range b.machines {
		clients.Go(func() {
			for n := 0; ; n++ {
				clients.Go(func() {
					path := fmt.Sprintf("/path%d/2f", n%routeCount)
					s := b.send(m, path)
					runs, _ := idle.server.Runs(s.id)
					mutex.Lock()
					defer mutex.Unlock()
					counts[s.status]++
					if runs > 0 {
						b.note("client at %s: request %s to %s: %s", m.name, s.id, path, s.outcome())
						foreign = append(foreign, fmt.Sprintf("ROUTE: request %s to %s, sent at %s, was run by %s, whose weight is 0 in all configurations", s.id, path, m.name, idle.service))
					}
				})
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
			}
		})
	}
	time.Sleep(settle)
	if err := b.putConfig(version(12, [3]int{30, 35, 35}, trouble)); err != nil {
		return nil, err
	}
	time.Sleep(2 * settle)
	close(done)
	clients.Wait()
	b.note("answers by status, 0 for none: %v", counts)
	for _, m := range b.machines {
		runs, _ := m.server.Runs("")
		b.note("server of %s: %d runs", m.service, runs)
	}
	return foreign, nil
}
