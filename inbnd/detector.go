package inbnd

import (
	"log/slog"
	"slices"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
)

const (
	// targetConfirmMillis is how long a lost request is kept without the
	// confirmation that the target died: the first heartbeat after a restart
	// comes some seconds later.
	targetConfirmMillis = 5000
	// collectMillis is the delay after the confirmation before a crash is
	// reported, so that all requests that were lost with the target are recorded.
	collectMillis = 50
	// probeWindowMillis is for how long after the last lost request the target is
	// probed at each tick.
	probeWindowMillis = 300
	// maxSuspects bounds the suspects of one crash to the requests that started
	// last, as a request that crashes its target does so when it starts.
	maxSuspects = 8
	// maxLostRequests is the max number of lost requests that are kept.
	maxLostRequests = 512
)

// crashDetector finds out which requests may have crashed the target.
type crashDetector struct {
	clock    clock.Clock
	suspects *crash.Suspects
	log      *slog.Logger

	mutex sync.Mutex
	lost  []lostRequest
	// confirmedAt is when the target was found to have died, 0 if it wasn't.
	confirmedAt int64
}

// lostRequest is a request whose connection ended early, without a response.
type lostRequest struct {
	fingerprint string
	startedAt   float64
	lostAt      int64
}

func newCrashDetector(c clock.Clock, suspects *crash.Suspects, log *slog.Logger) *crashDetector {
	return &crashDetector{clock: c, suspects: suspects, log: log}
}

// requestLost records a request that was lost after it started at startedAt.
func (d *crashDetector) requestLost(fingerprint string, startedAt float64) {
	if fingerprint == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.lost) < maxLostRequests {
		d.lost = append(d.lost, lostRequest{fingerprint, startedAt, d.clock.Now()})
	}
}

// targetDied records the confirmation that the target has died.
func (d *crashDetector) targetDied() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.confirmedAt == 0 && len(d.lost) > 0 {
		d.confirmedAt = max(d.clock.Now(), 1)
	}
}

// shouldProbe reports whether requests were lost recently and it isn't known
// yet whether the target has died.
func (d *crashDetector) shouldProbe() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.confirmedAt == 0 && len(d.lost) > 0 && d.clock.Now()-d.lost[len(d.lost)-1].lostAt <= probeWindowMillis
}

// tick reports a confirmed crash to all nodes, and drops lost requests for which
// no crash was confirmed.
func (d *crashDetector) tick() {
	fingerprints := d.takeSuspects()
	if len(fingerprints) == 0 {
		return
	}
	d.log.Warn("gate: the target died", "Suspects", fingerprints)
	d.suspects.ReportCrash(fingerprints)
}

// takeSuspects removes and returns the fingerprints of the suspects of a
// confirmed crash, once all of its lost requests are collected.
func (d *crashDetector) takeSuspects() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock.Now()
	d.lost = slices.DeleteFunc(d.lost, func(l lostRequest) bool { return now-l.lostAt > targetConfirmMillis })
	if d.confirmedAt == 0 || now-d.confirmedAt < collectMillis {
		return nil
	}
	slices.SortFunc(d.lost, func(a, b lostRequest) int {
		if a.startedAt > b.startedAt {
			return -1
		}
		return 1
	})
	var fingerprints []string
	for _, l := range d.lost[:min(maxSuspects, len(d.lost))] {
		fingerprints = append(fingerprints, l.fingerprint)
	}
	d.lost, d.confirmedAt = nil, 0
	return fingerprints
}
