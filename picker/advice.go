package picker

import (
	"bergamotloom.example/advice"
	"bergamotloom.example/card"
)

// unknownStartMillis is for how long a target with an unknown start time counts as
// leaving. Later it may have restarted under the same ID.
const unknownStartMillis = 30_000

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

// leftTarget is a target that has announced that it leaves.
type leftTarget struct {
	target      string
	startMillis int64
	// expiresMillis is when the target isn't excluded any more; 0 is never.
	expiresMillis int64
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
	if a.Leaving {
		n.setLeft(c.Target, c.TargetStartMillis, now)
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

func (n *instance) learnLeft(c card.Card) {
	if c.LeftTarget != "" && (c.LeftTarget != n.left.target || c.LeftStartMillis != n.left.startMillis) {
		n.setLeft(c.LeftTarget, c.LeftStartMillis, n.lastSeenMillis)
	}
}

func (n *instance) setLeft(target string, startMillis, now int64) {
	n.left = leftTarget{target: target, startMillis: startMillis}
	if startMillis == 0 {
		n.left.expiresMillis = now + unknownStartMillis
	}
}

// includes reports whether the card's target is the one that left, or an earlier
// one of the same ID.
func (l leftTarget) includes(c card.Card, now int64) bool {
	if l.target != c.Target {
		return false
	}
	if l.expiresMillis != 0 || c.TargetStartMillis == 0 {
		return l.expiresMillis == 0 || now < l.expiresMillis
	}
	return c.TargetStartMillis <= l.startMillis
}

// withoutRateLimit returns the instances without a bound on their rates, or all of
// them if there are none. It reorders the slice.
func withoutRateLimit(candidates []*instance) []*instance {
	count := 0
	for i, n := range candidates {
		if n.card.MaxRate() <= 0 {
			candidates[count], candidates[i] = candidates[i], candidates[count]
			count++
		}
	}
	if count == 0 {
		return candidates
	}
	return candidates[:count]
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
