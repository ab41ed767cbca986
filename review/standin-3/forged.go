package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/platform/server"
)

// playForged sends one heartbeat of another writer, whose version is a number and not a
// text, and then drains the server whose ID it names.
func playForged(b *bed, trouble bool) ([]string, error) {
	const (
		drain = 2 * time.Second
		// stays is how long the server goes on to serve after its leave was acknowledged.
		stays   = 5500 * time.Millisecond
		gap     = 20 * time.Millisecond
		runTime = 50 * time.Millisecond
	)
	var desks []*machine
	for i := range 3 {
		m, err := b.addMachine(fmt.Sprintf("lakes-z%d", i+1), "bookdesk", func(s *server.Server) { s.RunTime = runTime })
		if err != nil {
			return nil, err
		}
		desks = append(desks, m)
	}
	if err := b.putConfig(hireConfig()); err != nil {
		return nil, err
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	load := b.startLoad("/hire/2f", gap)
	time.Sleep(2 * time.Second)
	leaver := desks[0]
	if trouble {
		content, err := json.Marshal(map[string]any{
			"address": leaver.server.Address(),
			"born":    leaver.startedAt.UnixMilli(),
			"info":    map[string]any{"service": leaver.service, "version": 1, "zone": leaver.zone, "slots": leaver.server.Slots},
			"status":  map[string]any{"state": "ready", "sequence": time.Now().UnixMilli(), "cold_remaining": "0ms"},
		})
		if err != nil {
			return nil, errors.Wrap(err, "heartbeat")
		}
		err = leaver.server.SendRawHeartbeat(content)
		b.note("another writer at %s: heartbeat of %s with a version of another type: %s: %v", leaver.name, leaver.server.ID, content, err)
	}
	time.Sleep(200 * time.Millisecond)
	leaver.drain()
	acknowledgedAt, err := leaver.awaitDraining()
	if err != nil {
		return nil, err
	}
	b.note("server %s: draining was acknowledged", leaver.server.ID)
	time.Sleep(time.Until(acknowledgedAt.Add(stays)))
	if err := leaver.server.Leave(); err != nil {
		b.note("server %s: its leave wasn't acknowledged: %v", leaver.server.ID, err)
	}
	time.Sleep(200 * time.Millisecond)
	leaver.stopServer()
	b.note("server %s: ended", leaver.server.ID)
	time.Sleep(time.Second)
	return load.late(leaver, acknowledgedAt.Add(drain), time.Time{}), nil
}

// hireConfig has one route of requests that may not be repeated.
func hireConfig() configuration {
	return configuration{
		version:  7,
		routes:   []routeRow{{name: "r-hire", prefix: "/hire/", kind: "unsafe", service: "bookdesk"}},
		services: []string{"bookdesk"},
	}
}
