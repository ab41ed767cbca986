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
	// maxIncarnations bounds the incarnations that are remembered. A node has one target at
	// a time; other heartbeats are late or of other senders.
	maxIncarnations = 8
)

// Alive holds what is known of the last incarnations that have sent heartbeats. It's safe
// for concurrent use.
type Alive struct {
	clock         clock.Clock
	startedMillis int64

	mutex        sync.Mutex
	incarnations map[incarnation]proof
}

// incarnation identifies a start of a target.
type incarnation struct {
	target     string
	bornMillis int64
}

func incarnationOf(n notice.Notice) incarnation {
	return incarnation{n.Target, n.BornMillis}
}

// proof is what is known of one incarnation.
type proof struct {
	// sequence is that of the newest heartbeat. FirstMillis and lastMillis are when the
	// first and the newest one came.
	sequence                int64
	firstMillis, lastMillis int64
	// answered is true once the target has said that it's ready. Denies is true if it last
	// said that it isn't.
	answered, denies bool
}

// New returns an Alive of a node that starts now.
func New(c clock.Clock) *Alive {
	return &Alive{clock: c, startedMillis: c.Now(), incarnations: make(map[incarnation]proof)}
}

// Learn takes in a heartbeat when it comes.
func (a *Alive) Learn(n notice.Notice) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.clock.Now()
	p, ok := a.incarnations[incarnationOf(n)]
	switch {
	case !ok:
		p = proof{sequence: n.Sequence, firstMillis: now, lastMillis: now}
	case n.Sequence > p.sequence:
		p.sequence, p.lastMillis = n.Sequence, now
	}
	a.incarnations[incarnationOf(n)] = p
	if len(a.incarnations) > maxIncarnations {
		a.dropOldest()
	}
}

// dropOldest drops the incarnation that sent no heartbeat for longest. The mutex must be
// held.
func (a *Alive) dropOldest() {
	var oldest incarnation
	oldestMillis := a.clock.Now() + 1
	for i, p := range a.incarnations {
		if p.lastMillis < oldestMillis {
			oldest, oldestMillis = i, p.lastMillis
		}
	}
	delete(a.incarnations, oldest)
}

// SetReady records that the target that sent this heartbeat was asked whether it's ready,
// and what it has answered for itself.
func (a *Alive) SetReady(n notice.Notice, ready bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	p, ok := a.incarnations[incarnationOf(n)]
	if !ok {
		return
	}
	p.answered = p.answered || ready
	p.denies = !ready
	a.incarnations[incarnationOf(n)] = p
}

// Proven reports whether the target that sent this heartbeat hasn't left before the node
// started: it says so, or its heartbeats go on, or one came that can't be late.
func (a *Alive) Proven(n notice.Notice) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	p, ok := a.incarnations[incarnationOf(n)]
	if !ok {
		return false
	}
	goesOn := p.lastMillis-p.firstMillis >= minSpanMillis && !p.denies
	return p.answered || goesOn || p.lastMillis-a.startedMillis >= MaxHeartbeatDelayMillis
}
