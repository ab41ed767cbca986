package inbnd

import (
	"log/slog"
	"slices"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
)

const (
	// proofMillis is how long after requests broke off the target may turn out
	// to have died: a new start says so some seconds later.
	proofMillis = 5000
	// gatherMillis after the proof, all requests that broke off with the target
	// are known.
	gatherMillis = 50
	// doubtMillis is for how long after a request broke off the gate tries at
	// each tick whether the target still takes connections.
	doubtMillis = 300
	// suspectsMost are told of one crash: those that began last, as a request
	// that crashes its target does so when it begins.
	suspectsMost = 8
	// brokenMost bounds how many requests are remembered.
	brokenMost = 512
)

// deaths finds out which requests may have crashed the target.
type deaths struct {
	clock clock.Clock
	marks *crash.Suspects
	log   *slog.Logger

	mutex  sync.Mutex
	broken []brokenOff
	// provedAt is when the target turned out to have died, or 0.
	provedAt int64
}

// brokenOff is a request whose answer broke off.
type brokenOff struct {
	mark  string
	began float64
	at    int64
}

func newDeaths(c clock.Clock, marks *crash.Suspects, log *slog.Logger) *deaths {
	return &deaths{clock: c, marks: marks, log: log}
}

// lost takes a request that began then and broke off.
func (d *deaths) lost(mark string, began float64) {
	if mark == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.broken) < brokenMost {
		d.broken = append(d.broken, brokenOff{mark, began, d.clock.Now()})
	}
}

// proved takes the proof that the target has died.
func (d *deaths) proved() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.provedAt == 0 && len(d.broken) > 0 {
		d.provedAt = max(d.clock.Now(), 1)
	}
}

// doubt tells whether requests broke off lately and it isn't known yet whether
// the target has died.
func (d *deaths) doubt() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.provedAt == 0 && len(d.broken) > 0 && d.clock.Now()-d.broken[len(d.broken)-1].at <= doubtMillis
}

// tick tells all nodes of a crash, and forgets what broke off without one.
func (d *deaths) tick() {
	suspects := d.suspects()
	if len(suspects) == 0 {
		return
	}
	d.log.Warn("gate: the target died", "Suspects", suspects)
	d.marks.ReportCrash(suspects)
}

func (d *deaths) suspects() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock.Now()
	d.broken = slices.DeleteFunc(d.broken, func(b brokenOff) bool { return now-b.at > proofMillis })
	if d.provedAt == 0 || now-d.provedAt < gatherMillis {
		return nil
	}
	slices.SortFunc(d.broken, func(a, b brokenOff) int {
		if a.began > b.began {
			return -1
		}
		return 1
	})
	var marks []string
	for _, b := range d.broken[:min(suspectsMost, len(d.broken))] {
		marks = append(marks, b.mark)
	}
	d.broken, d.provedAt = nil, 0
	return marks
}
