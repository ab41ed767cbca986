package inbnd

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/advice"
	"bergamotloom.example/card"
	"bergamotloom.example/conns"
	"bergamotloom.example/notice"
	"bergamotloom.example/reason"
)

// A target may name another limit in each response, and send malformed headers with
// each: these are the min times between two log lines of a limit that begins or
// ends, and of malformed headers. A limit whose rate changes is logged every
// stateLogMillis at most.
const (
	limitLogMillis     = 100
	malformedLogMillis = 1000
)

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
	if ran {
		g.learnSpeed(a)
	}
	if a.Leaving && !g.target.Leaving {
		g.target = g.target.WithLeaving()
		// It may be of a later incarnation whose first heartbeat is still on its way.
		g.departures.put(g.target.Target, g.departures[g.target.Target].withRequest(g.clock.Now()))
		g.leave("announced in a response")
		// It records that in the store, which may take long.
		go g.onLeaving(target.Target)
	}
}

// recordSent records that a request is being sent to the target.
func (g *Gate) recordSent() {
	g.runs.Inc(1)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.named.Sent()
}

// changeLimit applies a change to the rate limit of the target, and logs it. The
// mutex must be held.
func (g *Gate) changeLimit(change func()) {
	rateBefore, limitedBefore := g.named.Rate()
	_, boundedBefore := g.named.MaxRunning()
	change()
	rate, limited := g.named.Rate()
	if _, bounded := g.named.MaxRunning(); limited != limitedBefore || rate != rateBefore || bounded != boundedBefore {
		g.applyBounds()
	}
	if limited == limitedBefore && (!limited || rate == rateBefore) {
		return
	}
	metrics.GetOrRegisterCounter("gate.limit.changes", g.registry).Inc(1)
	now := g.clock.Now()
	intervalMillis := int64(limitLogMillis)
	if limited == limitedBefore {
		intervalMillis = stateLogMillis
	}
	if g.limitLoggedAt != 0 && now-g.limitLoggedAt < intervalMillis {
		return
	}
	g.limitLoggedAt = now
	source, ageMillis := g.named.Age()
	g.log.Info("gate: rate limit of the target", "Target", g.target.Target, "Limited", limited, "Rate", rate,
		"WasLimited", limitedBefore, "RateBefore", rateBefore, "Source", source, "AgeMillis", ageMillis)
}

// applyBounds passes what's known of the rate limit and the cold start on to the queue. The mutex must
// be held.
func (g *Gate) applyBounds() {
	rate, limited := g.named.Rate()
	if !limited {
		rate = 0
	}
	if g.coldRate > 0 && (rate == 0 || g.coldRate < rate) {
		rate = g.coldRate
	}
	maxRunning, bounded := g.named.MaxRunning()
	if !bounded {
		maxRunning = 0
	}
	g.governor.SetBounds(rate, maxRunning)
}

// describeLimit adds the rate limit of the target to the node's card. The mutex
// must be held.
func (g *Gate) describeLimit(c card.Card) card.Card {
	if rate, limited := g.named.Rate(); limited {
		_, ageMillis := g.named.Age()
		c.RateLimit, c.RateLimitAgeMillis = float32(rate), int64(ageMillis)
	}
	_, unknown := g.named.MaxRunning()
	c.RateLimitKnown = !unknown
	c.ColdRate = float32(g.coldRate)
	return c
}

// refusalDetail describes for logs what the queue refused a request for.
func (g *Gate) refusalDetail(refusal reason.Reason) string {
	if rate := g.ColdRate(); refusal == reason.Overloaded && rate > 0 {
		return fmt.Sprintf("at the gate, whose target is in its cold start and can take %.1f requests per second", rate)
	}
	if rate, source, ageMillis := g.RateLimit(); refusal == reason.Overloaded && rate > 0 {
		return fmt.Sprintf("at the gate, with a rate limit of %.1f requests per second (source %s, named %.0f ms ago)", rate, source, ageMillis)
	}
	return "at the gate"
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

// recordMalformed counts and logs the error of a request if the target's response was
// malformed.
func (g *Gate) recordMalformed(target string, err error) {
	if !errors.Is(err, conns.ErrMalformed) {
		return
	}
	malformed := metrics.GetOrRegisterCounter("gate.responses.malformed", g.registry)
	malformed.Inc(1)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.clock.Now()
	if g.malformedResponseAt != 0 && now-g.malformedResponseAt < malformedLogMillis {
		return
	}
	g.malformedResponseAt = now
	g.log.Warn("gate: malformed response of the target", "Target", target, "Count", malformed.Count(), "Error", err.Error())
}

// RateCosts returns how many requests rate limits of the target have refused and
// how many they have delayed.
func (g *Gate) RateCosts() (refused, delayed int64) {
	return g.queue.RateCosts()
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
