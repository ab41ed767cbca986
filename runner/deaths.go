package runner

import (
	"log/slog"
	"sync"
	"time"

	"bergamotloom.example/crash"
	"bergamotloom.example/local"
)

const (
	// gatherMillis is how long the requests are gathered that broke off
	// together, before it's asked whether the target has died.
	gatherMillis = 40
	// proofMillis is how long a dead target may take to refuse connections.
	proofMillis = 300
	askMillis   = 20
)

// deaths finds out whether the target died, when requests at it break off.
type deaths struct {
	target *local.Target
	marks  *crash.Marks
	log    *slog.Logger

	mutex     sync.Mutex
	gathering bool
	running   []string
}

func newDeaths(target *local.Target, marks *crash.Marks, log *slog.Logger) *deaths {
	return &deaths{target: target, marks: marks, log: log}
}

// suspect takes the fingerprint of a request that broke off.
func (d *deaths) suspect(fingerprint string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.running = append(d.running, fingerprint)
	if !d.gathering {
		d.gathering = true
		time.AfterFunc(gatherMillis*time.Millisecond, d.look)
	}
}

// look asks the target for some time whether it takes connections. One that
// refuses them has died.
func (d *deaths) look() {
	dead := false
	for waited := 0; waited < proofMillis && !dead; waited += askMillis {
		dead = d.target.RefusesConnections()
		if !dead {
			time.Sleep(askMillis * time.Millisecond)
		}
	}
	d.mutex.Lock()
	running := d.running
	d.running = nil
	d.gathering = false
	d.mutex.Unlock()
	if dead {
		d.log.Warn("gate: the target died", "Requests", len(running))
		d.target.MarkUnreachable()
		d.marks.Crashed(running)
	}
}
