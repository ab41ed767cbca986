package runner

import (
	"log/slog"
	"sync"
	"time"

	"bergamotloom.example/crash"
	"bergamotloom.example/local"
)

const (
	// collectMillis is how long failed requests are collected before the target
	// is checked, so that all requests of one crash are reported together.
	collectMillis = 40
	// checkTimeoutMillis is how long to wait for the port of a dead target to
	// refuse connections, checkIntervalMillis the pause between two attempts.
	checkTimeoutMillis  = 300
	checkIntervalMillis = 20
)

// crashDetector checks after failed requests whether the target has crashed.
type crashDetector struct {
	target   *local.Target
	suspects *crash.Suspects
	log      *slog.Logger

	mutex        sync.Mutex
	collecting   bool
	fingerprints []string
}

func newCrashDetector(target *local.Target, suspects *crash.Suspects, log *slog.Logger) *crashDetector {
	return &crashDetector{target: target, suspects: suspects, log: log}
}

// addFailed takes the fingerprint of a request whose response failed.
func (d *crashDetector) addFailed(fingerprint string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fingerprints = append(d.fingerprints, fingerprint)
	if !d.collecting {
		d.collecting = true
		time.AfterFunc(collectMillis*time.Millisecond, d.check)
	}
}

// check tries for some time to connect to the target. A target that refuses
// connections has crashed.
func (d *crashDetector) check() {
	dead := false
	for waitedMillis := 0; waitedMillis < checkTimeoutMillis && !dead; waitedMillis += checkIntervalMillis {
		dead = d.target.RefusesConnections()
		if !dead {
			time.Sleep(checkIntervalMillis * time.Millisecond)
		}
	}
	d.mutex.Lock()
	fingerprints := d.fingerprints
	d.fingerprints = nil
	d.collecting = false
	d.mutex.Unlock()
	if dead {
		d.log.Warn("gate: the target died", "Requests", len(fingerprints))
		d.target.MarkUnreachable()
		d.suspects.ReportCrash(fingerprints)
	}
}
