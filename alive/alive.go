// Package alive collects proof that the target beside a node that has restarted goes on
// serving. A heartbeat alone is none: it may have been sent before the target announced to
// an earlier process of the node that it leaves, and be late.
package alive

import (
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/notice"
)

const (
	// MaxHeartbeatDelayMillis is how late a heartbeat may arrive.
	MaxHeartbeatDelayMillis = 10_000
	// minSpanMillis is the time over which heartbeats have to go on if the target doesn't
	// answer for itself. It exceeds the interval between two of them: several heartbeats
	// would have to be late by that and by the time in which the node has restarted.
	minSpanMillis = 2500
)

// Alive holds what is known of the newest incarnation of a target. It's safe for
// concurrent use.
type Alive struct {
	clock         clock.Clock
	startedMillis int64

	mutex sync.Mutex
	// newest is the last heartbeat of the newest incarnation; firstMillis and lastMillis
	// are when its first and its last one came.
	newest                  notice.Notice
	firstMillis, lastMillis int64
	// answered is true once the target has said that it's ready. denies is true if it last
	// said that it isn't.
	answered, denies bool
}

// New returns an Alive of a node that starts now.
func New(c clock.Clock) *Alive {
	return &Alive{clock: c, startedMillis: c.Now()}
}

// Learn takes in a heartbeat when it comes.
func (a *Alive) Learn(n notice.Notice) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	switch {
	case a.isNewest(n):
		if n.Sequence > a.newest.Sequence {
			a.newest, a.lastMillis = n, now
		}
	case a.newest.Target == "" || n.BornMillis >= a.newest.BornMillis:
		a.newest, a.firstMillis, a.lastMillis = n, now, now
		a.answered, a.denies = false, false
	}
}

// SetReady records that the target that sent this heartbeat was asked whether it's ready,
// and what it has answered for itself.
func (a *Alive) SetReady(n notice.Notice, ready bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isNewest(n) {
		return
	}
	a.answered = a.answered || ready
	a.denies = !ready
}

// Proven reports whether the target that sent this heartbeat hasn't left before the node
// started: it says so, or its heartbeats go on, or one came that can't be late.
func (a *Alive) Proven(n notice.Notice) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isNewest(n) {
		return false
	}
	goesOn := a.lastMillis-a.firstMillis >= minSpanMillis && !a.denies
	return a.answered || goesOn || a.lastMillis-a.startedMillis >= MaxHeartbeatDelayMillis
}

// isNewest reports whether a heartbeat is of the newest incarnation. The mutex must be
// held.
func (a *Alive) isNewest(n notice.Notice) bool {
	return n.Target == a.newest.Target && n.BornMillis == a.newest.BornMillis
}
