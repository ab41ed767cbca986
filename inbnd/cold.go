package inbnd

import (
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/servc"
)

// Configure takes in the configuration of the target's service.
func (g *Gate) Configure(s servc.Service) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.warmup.Configure(s.ColdRate, s.ColdStartMillis)
	g.healthPath = s.HealthPath
	g.applyWarmup()
}

// learnCold takes in how much longer the target is in its cold start. Source says
// where that is from. It reports whether that was longer than a cold start can take. The
// mutex must be held.
func (g *Gate) learnCold(remainingMillis int64, source string) (cut bool) {
	if cut = g.warmup.Learn(remainingMillis); cut {
		metrics.GetOrRegisterCounter("gate.cold.cut", g.registry).Inc(1)
		if now := g.clock.Now(); g.coldLoggedAt == 0 || now-g.coldLoggedAt >= malformedLogMillis {
			g.coldLoggedAt = now
			g.log.Warn("gate: the target claims a longer cold start than its service has", "Target", g.target.Target, "ColdMillis", remainingMillis, "Source", source)
		}
	}
	g.applyWarmup()
	return cut
}

// applyWarmup puts the bound of the cold start in force, or ends it. The mutex must be
// held.
func (g *Gate) applyWarmup() {
	rate, _ := g.warmup.Rate()
	if rate == g.coldRate {
		return
	}
	before := g.coldRate
	g.coldRate = rate
	g.applyBounds()
	if before == 0 {
		metrics.GetOrRegisterCounter("gate.cold.starts", g.registry).Inc(1)
	}
	g.log.Info("gate: cold start of the target", "Target", g.target.Target, "Rate", rate, "RateBefore", before, "RemainingMillis", g.warmup.RemainingMillis())
}

// ColdRate returns the bound on the target's rate in its cold start, in requests per
// second; 0 if there's none.
func (g *Gate) ColdRate() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.coldRate
}
