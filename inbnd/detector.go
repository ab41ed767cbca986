package inbnd

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
)

const (
	// targetConfirmMillis is how long a request without a response is kept without
	// the confirmation that the target died: a target needs some seconds to start
	// again and to send its first heartbeat.
	targetConfirmMillis = 15_000
	// abandonedMillis is for how long before the last sign of life of the target a
	// request may have been given up and still be suspect: it may have gone on
	// running.
	abandonedMillis = 1000
	// collectMillis is the delay after the confirmation before a crash is
	// reported, so that all requests that were lost with the target are recorded.
	collectMillis = 50
	// probeWindowMillis is for how long after the last lost request the target is
	// probed at each tick.
	probeWindowMillis = 300
	// maxUnanswered is the max number of requests without a response that are kept.
	maxUnanswered = 512
)

// crashDetector finds out which requests may have crashed the target.
type crashDetector struct {
	clock    clock.Clock
	suspects *crash.Suspects
	log      *slog.Logger

	mutex      sync.Mutex
	unanswered []unansweredRequest
	// respondedAt is when the target last responded.
	respondedAt float64
	// lostAt is when a request was last lost.
	lostAt float64
	// confirmedAt is when the target was found to have died, 0 if it wasn't.
	confirmedAt int64
	// crashID identifies the crash, the same as at the nodes that sent requests.
	crashID string
}

// unansweredRequest is a request that was sent to the target and ended without a
// response.
type unansweredRequest struct {
	fingerprint string
	startedAt   float64
	endedAt     float64
	// isLost is true if the connection ended early; else the node gave the request
	// up, as its caller had left or its deadline had passed.
	isLost bool
}

func newCrashDetector(c clock.Clock, suspects *crash.Suspects, log *slog.Logger) *crashDetector {
	return &crashDetector{clock: c, suspects: suspects, log: log}
}

// responded records that the target has responded to a request.
func (d *crashDetector) responded() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.respondedAt = d.clock.Fine()
}

// requestEnded records a request that ended without a response after it started at
// startedAt. IsLost says that the connection ended early.
func (d *crashDetector) requestEnded(fingerprint string, startedAt float64, isLost bool) {
	if fingerprint == "" {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock.Fine()
	if isLost {
		d.lostAt = now
	}
	if len(d.unanswered) >= maxUnanswered {
		d.unanswered = d.unanswered[1:]
	}
	d.unanswered = append(d.unanswered, unansweredRequest{fingerprint, startedAt, now, isLost})
}

// targetDied records the confirmation that the target has died. The ID identifies
// the crash.
func (d *crashDetector) targetDied(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.confirmedAt == 0 && len(d.unanswered) > 0 {
		d.confirmedAt, d.crashID = max(d.clock.Now(), 1), id
	}
}

// targetLeft drops the requests of a target that ended as planned, but for those
// that were lost.
func (d *crashDetector) targetLeft() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unanswered = slices.DeleteFunc(d.unanswered, func(r unansweredRequest) bool { return !r.isLost })
}

// shouldProbe reports whether requests were lost recently and it isn't known
// yet whether the target has died.
func (d *crashDetector) shouldProbe() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.confirmedAt == 0 && d.lostAt > 0 && d.clock.Fine()-d.lostAt <= probeWindowMillis
}

// tick reports a confirmed crash to all nodes, and drops requests for which no crash
// was confirmed.
func (d *crashDetector) tick() {
	id, fingerprints := d.takeSuspects()
	if len(fingerprints) == 0 {
		return
	}
	d.log.Warn("gate: the target died", "Crash", id, "Suspects", fingerprints)
	d.suspects.ReportTargetCrash(id, fingerprints)
}

// takeSuspects removes and returns the fingerprints of the suspects of a confirmed
// crash, with its ID, once all of its lost requests are collected. Those that
// started last come first.
func (d *crashDetector) takeSuspects() (id string, fingerprints []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock.Now()
	d.unanswered = slices.DeleteFunc(d.unanswered, func(r unansweredRequest) bool { return float64(now)-r.endedAt > targetConfirmMillis })
	if d.confirmedAt == 0 || now-d.confirmedAt < collectMillis {
		return "", nil
	}
	slices.SortStableFunc(d.unanswered, func(a, b unansweredRequest) int { return cmp.Compare(b.startedAt, a.startedAt) })
	for _, r := range d.unanswered {
		if (r.isLost || r.endedAt >= d.respondedAt-abandonedMillis) && !slices.Contains(fingerprints, r.fingerprint) {
			fingerprints = append(fingerprints, r.fingerprint)
		}
	}
	d.unanswered, d.confirmedAt = nil, 0
	return d.crashID, fingerprints
}
