package inbnd

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/notice"
)

const (
	// maxColdHeaderBytes bounds how much of a malformed header is logged.
	maxColdHeaderBytes = 32
	evacuatedDetail    = "at the gate"
)

// SetEvacuated sets whether the gate's data centre is under evacuation. While it is, the
// gate refuses all requests but those that run already. When that ends, the target may have
// become cold: until its next heartbeat, or the answer to one query of its health path,
// it gets what it can take in its cold start.
func (g *Gate) SetEvacuated(evacuated bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.evacuated == evacuated {
		return
	}
	g.evacuated = evacuated
	running, waiting := g.queue.Load()
	g.log.Info("gate: evacuation of the data centre", "Evacuated", evacuated, "Target", g.target.Target, "Running", running, "Waiting", waiting)
	if evacuated {
		g.queue.Close()
		return
	}
	g.evacuationEnds++
	g.warmup.Suspect()
	g.applyWarmup()
	g.open()
	if g.coldRate > 0 && g.accepts() && g.healthPath != "" && g.dialect.Cold != "" {
		go g.askCold(g.healthPath, g.target, g.evacuationEnds)
	}
}

func (g *Gate) isEvacuated() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.evacuated
}

// askCold asks the target at its health path how much longer it's cold, after an evacuation
// with this number has ended. If it doesn't tell, its next heartbeat will.
func (g *Gate) askCold(path string, target notice.Notice, evacuationEnds int) {
	remainingMillis, err := g.queryCold(path, target)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.evacuationEnds != evacuationEnds || g.target.Target != target.Target || g.target.BornMillis != target.BornMillis {
		return
	}
	if err != nil {
		metrics.GetOrRegisterCounter("gate.cold.unanswered", g.registry).Inc(1)
		g.log.Warn("gate: the target doesn't tell whether it's cold", "Target", target.Target, "Path", path, "Error", err.Error())
		return
	}
	if !g.learnCold(remainingMillis, "Health") {
		g.coldAnsweredUntil = g.clock.Now() + remainingMillis
	}
}

// queryCold returns how much longer the target is cold, by the header of a response of its
// health path. It returns an error if there's no response of this target, or none with a
// sound header.
func (g *Gate) queryCold(path string, target notice.Notice) (remainingMillis int64, err error) {
	status, h, err := g.queryHealth(path, target)
	if err != nil {
		return 0, err
	}
	values := h.Values(g.dialect.Cold)
	if len(values) != 1 {
		return 0, errors.Errorf("%d headers %s instead of one, status %d", len(values), g.dialect.Cold, status)
	}
	remainingMillis, err = strconv.ParseInt(values[0], 10, 64)
	if err != nil || remainingMillis < 0 {
		return 0, errors.Errorf("%s is %s: it must be a number of milliseconds", g.dialect.Cold, fmt.Sprintf("%.*q", maxColdHeaderBytes, values[0]))
	}
	return remainingMillis, nil
}
