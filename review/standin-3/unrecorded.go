package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/platform/rows"
	"bergamotloom.example/platform/server"
)

// playUnrecorded has a server leave while the store is down. All processes are killed just
// before the store is back, and start again just after that. A heartbeat that the server
// sent before it left comes late.
func playUnrecorded(b *bed, trouble bool) ([]string, error) {
	const (
		drain     = 2 * time.Second
		stability = 3 * time.Second
		gap       = 20 * time.Millisecond
		// Times after the store goes down.
		sentAt     = 300 * time.Millisecond
		leavesAt   = 700 * time.Millisecond
		killedAt   = 4200 * time.Millisecond
		backAt     = 4500 * time.Millisecond
		startedAt  = 4700 * time.Millisecond
		arrivesAt  = 5400 * time.Millisecond
		serverEnds = 11 * time.Second
	)
	var desks []*machine
	for i := range 3 {
		m, err := b.addMachine(fmt.Sprintf("lakes-z%d", i+1), "bookdesk", func(s *server.Server) { s.RunTime = 50 * time.Millisecond })
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
	began := time.Now()
	until := func(after time.Duration) { time.Sleep(time.Until(began.Add(after))) }
	if trouble {
		b.store.SetFault(rows.Busy)
		b.note("store: answers 503")
	}
	until(sentAt)
	leaver.holdBeats()
	lateBeat, err := leaver.nextBeat()
	if err != nil {
		return nil, err
	}
	b.note("server %s: heartbeat on its way: %s", leaver.server.ID, lateBeat)
	until(leavesAt)
	if err := leaver.server.Leave(); err != nil {
		return nil, errors.Wrap(err, "the leave wasn't acknowledged")
	}
	acknowledgedAt := time.Now()
	b.note("server %s: its leave was acknowledged", leaver.server.ID)
	restartedAt := began
	if trouble {
		until(killedAt)
		for _, m := range b.machines {
			m.signal(syscall.SIGKILL)
		}
		until(backAt)
		b.store.SetFault(rows.Healthy)
		b.note("store: serves again")
		until(startedAt)
		for _, m := range b.machines {
			if err := m.start(); err != nil {
				return nil, err
			}
		}
		restartedAt = time.Now()
	}
	until(arrivesAt)
	err = leaver.server.SendRawHeartbeat(lateBeat)
	b.note("server %s: the late heartbeat arrives: %v", leaver.server.ID, err)
	if err != nil {
		return nil, err
	}
	until(serverEnds)
	leaver.stopServer()
	b.note("server %s: ended", leaver.server.ID)
	time.Sleep(time.Second)
	return load.late(leaver, acknowledgedAt.Add(drain), restartedAt.Add(stability)), nil
}

// nextBeat returns the content of the next heartbeat of the server.
func (m *machine) nextBeat() ([]byte, error) {
	m.mutex.Lock()
	sequence := m.beats + 1
	m.mutex.Unlock()
	content, err := json.Marshal(map[string]any{
		"address": m.server.Address(),
		"born":    m.startedAt.UnixMilli(),
		"info":    map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": m.server.Slots},
		"status":  map[string]any{"state": "ready", "sequence": sequence, "cold_remaining": "0ms"},
	})
	return content, errors.Wrap(err, "heartbeat")
}
