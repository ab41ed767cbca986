package picker

import (
	"bergamotloom.example/advice"
	"bergamotloom.example/card"
)

// namedLimit is a rate limit that a target named. It outlasts the card that told
// it, as a node that restarts doesn't know the limit of its own target.
type namedLimit struct {
	target      string
	startMillis int64
	// rate is in requests per second, 0 if the target has named none.
	rate float32
	// namedMillis is when the target last named it.
	namedMillis int64
}

// LearnAdvice takes in what a response to a run at the card's target says.
func (p *Picker) LearnAdvice(c card.Card, a advice.Advice) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	n, ok := p.instances[c.Peers]
	if !ok {
		return
	}
	now := p.clock.Now()
	switch {
	case a.Limited:
		n.limit = namedLimit{c.Target, c.TargetStartMillis, float32(max(a.RateLimit, advice.MinRate)), now}
	case !a.Malformed && n.limit.target == c.Target:
		n.limit = namedLimit{}
	}
}

// learnLimit takes in the rate limit on a card. A card of a node that doesn't know
// the limit of its target changes nothing, unless the target is another one.
func (n *instance) learnLimit(c card.Card, now int64) {
	switch {
	case c.RateLimit > 0:
		n.limit = namedLimit{c.Target, c.TargetStartMillis, c.RateLimit, now - c.RateLimitAgeMillis}
	case c.RateLimitKnown, c.Target != "" && (c.Target != n.limit.target || c.TargetStartMillis != n.limit.startMillis):
		n.limit = namedLimit{}
	}
	n.card = n.limit.describe(n.card, now)
}

// describe returns the card with the limit added, if that is of the same target.
func (l namedLimit) describe(c card.Card, now int64) card.Card {
	if l.rate > 0 && l.target == c.Target && l.startMillis == c.TargetStartMillis {
		c.RateLimit, c.RateLimitAgeMillis = l.rate, now-l.namedMillis
	}
	return c
}

// RateLimits returns the number of targets that are known to name a rate limit.
func (p *Picker) RateLimits() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, n := range p.instances {
		if n.limit.rate > 0 && n.card.Target == n.limit.target {
			count++
		}
	}
	return count
}
