package inbnd

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/advice"
	"bergamotloom.example/notice"
)

// malformedLogMillis is the min time between two log lines of malformed headers,
// which a target may send with every response.
const malformedLogMillis = 1000

// followAdvice follows what the headers of a response of the target say. The
// request was sent at sentMillis.
func (g *Gate) followAdvice(response *http.Response, target notice.Notice, sentMillis float64) {
	ran := response.Header.Get(g.dialect.Signature) != ""
	if !ran && response.Header.Get(g.dialect.NotExecuted) == "" || response.StatusCode == http.StatusMisdirectedRequest {
		// It isn't a response of the target, or one of another target.
		return
	}
	a, problems := advice.Read(response.Header, g.dialect)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(problems) > 0 {
		g.logMalformed(target, problems)
	}
	if g.target.Target != target.Target || g.target.BornMillis != target.BornMillis {
		return
	}
	g.changeLimit(func() { g.named.Heard(a, sentMillis, ran) })
}

// changeLimit applies a change to the rate limit of the target, and logs it. The
// mutex must be held.
func (g *Gate) changeLimit(change func()) {
	rateBefore, limitedBefore := g.named.Rate()
	change()
	rate, limited := g.named.Rate()
	if limited == limitedBefore && (!limited || rate == rateBefore) {
		return
	}
	metrics.GetOrRegisterCounter("gate.limit.changes", g.registry).Inc(1)
	now := g.clock.Now()
	if limited == limitedBefore && now-g.limitLoggedAt < stateLogMillis {
		// A target may name a slightly different limit in every response.
		return
	}
	g.limitLoggedAt = now
	source, ageMillis := g.named.Age()
	g.log.Info("gate: rate limit of the target", "Target", g.target.Target, "Limited", limited, "Rate", rate,
		"WasLimited", limitedBefore, "RateBefore", rateBefore, "Source", source, "AgeMillis", ageMillis)
}

// logMalformed logs headers of the target that were ignored. The mutex must be
// held.
func (g *Gate) logMalformed(target notice.Notice, problems []error) {
	metrics.GetOrRegisterCounter("gate.advice.malformed", g.registry).Inc(int64(len(problems)))
	now := g.clock.Now()
	if g.malformedLoggedAt != 0 && now-g.malformedLoggedAt < malformedLogMillis {
		return
	}
	g.malformedLoggedAt = now
	for _, p := range problems {
		g.log.Warn("gate: ignored a malformed header of the target", "Target", target.Target, "Error", p.Error())
	}
}

// RateLimit returns the rate limit in force in requests per second, 0 if there is
// none, its source, and how long ago in milliseconds the target named it.
func (g *Gate) RateLimit() (rate float64, source string, ageMillis float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if rate, limited := g.named.Rate(); limited {
		source, ageMillis = g.named.Age()
		return rate, source, ageMillis
	}
	return 0, "", 0
}
