package picker_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/advice"
	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/picker"
)

// pickFrom returns the card of the only instance, or an empty one if it can't be
// picked.
func pickFrom(p *picker.Picker) card.Card {
	c, ok := p.Pick("stock", nil)
	if !ok {
		return card.Card{}
	}
	p.Done(c.Peers, true)
	return c
}

func TestLoadGoesToTargetsInProportionToTheirRateLimits(t *testing.T) {
	c, advance := clock.NewManual(0)
	p := picker.New(c, "a", 1)
	limited, free := instanceCard("limited", "a", 20), instanceCard("free", "a", 20)
	// The capacity of the free one is 2500 a second.
	limited.RateLimit = 250
	counts := map[string]int{}
	for range 100 {
		p.Learn(limited)
		p.Learn(free)
		for peer, n := range countPicks(p, 100) {
			counts[peer] += n
		}
		advance(100)
	}
	assert.Assert(t, counts["limited"] > 200 && counts["limited"] < 1500, "%v", counts)
}

// Whatever the number of limited targets, a request that one of them didn't admit is
// offered to a target without a limit before it's refused.
func TestRequestBeyondARateLimitGoesToATargetWithoutOne(t *testing.T) {
	c, _ := clock.NewManual(0)
	p := picker.New(c, "a", 1)
	for i := range 20 {
		limited := instanceCard(fmt.Sprintf("limited-%d", i), "a", 20)
		limited.RateLimit = 2000
		p.Learn(limited)
	}
	p.Learn(instanceCard("free", "b", 20))
	for range 100 {
		got, ok := p.Pick("stock", map[string]bool{"limited-0": true})
		assert.Assert(t, ok)
		assert.Equal(t, got.Peers, "free")
	}
	got, ok := p.Pick("stock", map[string]bool{"limited-0": true, "free": true})
	assert.Assert(t, ok)
	assert.Assert(t, got.RateLimit > 0)
}

// A node that has restarted doesn't know the limit of its target, until the target
// responds. Its peers go on telling it.
func TestRateLimitIsRememberedAcrossARestartOfTheNode(t *testing.T) {
	c, advance := clock.NewManual(1000)
	p := picker.New(c, "a", 1)
	before := instanceCard("x", "a", 20)
	before.RateLimit, before.RateLimitKnown, before.RateLimitAgeMillis, before.TargetStartMillis = 55, true, 30, 7
	p.Learn(before)
	advance(500)
	after := instanceCard("x", "a", 20)
	after.Incarnation, after.TargetStartMillis = 2, 7
	withoutTarget := after
	withoutTarget.Target = ""
	p.Learn(withoutTarget)
	p.Learn(after)
	got := pickFrom(p)
	assert.Equal(t, got.RateLimit, float32(55))
	assert.Equal(t, got.RateLimitAgeMillis, int64(530))
	assert.Equal(t, p.RateLimits(), 1)
	for _, change := range []func(card.Card) card.Card{
		func(c card.Card) card.Card { c.RateLimitKnown = true; return c },
		func(c card.Card) card.Card { c.TargetStartMillis = 8; return c },
		func(c card.Card) card.Card { c.Target = "other"; return c },
	} {
		p.Learn(before)
		p.Learn(change(after))
		assert.Equal(t, pickFrom(p).RateLimit, float32(0))
		assert.Equal(t, p.RateLimits(), 0)
	}
}

// An entry that gets no cards of the node follows the responses themselves.
func TestResponsesTellRateLimits(t *testing.T) {
	c, _ := clock.NewManual(1000)
	p := picker.New(c, "a", 1)
	x := instanceCard("x", "a", 20)
	p.Learn(x)
	p.LearnAdvice(x, advice.Advice{Limited: true, RateLimit: 12})
	assert.Equal(t, pickFrom(p).RateLimit, float32(12))
	p.LearnAdvice(x, advice.Advice{Malformed: true})
	assert.Equal(t, pickFrom(p).RateLimit, float32(12))
	p.LearnAdvice(x, advice.Advice{})
	assert.Equal(t, pickFrom(p).RateLimit, float32(0))
	p.LearnAdvice(instanceCard("unknown", "a", 20), advice.Advice{Limited: true, RateLimit: 12})
}

// A target that left isn't picked, even if its node has restarted and doesn't know.
// Another incarnation of the same ID is.
func TestTargetThatLeftIsNotPicked(t *testing.T) {
	for name, leave := range map[string]func(p *picker.Picker, x card.Card){
		"response": func(p *picker.Picker, x card.Card) { p.LearnAdvice(x, advice.Advice{Leaving: true}) },
		"card": func(p *picker.Picker, x card.Card) {
			x.LeftTarget, x.LeftStartMillis, x.Target = x.Target, x.TargetStartMillis, ""
			p.Learn(x)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, advance := clock.NewManual(1000)
			p := picker.New(c, "a", 1)
			x := instanceCard("x", "a", 20)
			x.TargetStartMillis = 100
			p.Learn(x)
			leave(p, x)
			x.Incarnation = 2
			p.Learn(x)
			assert.Equal(t, pickFrom(p).Target, "")
			advance(3_600_000)
			p.Learn(x)
			assert.Equal(t, pickFrom(p).Target, "")
			x.TargetStartMillis = 200
			p.Learn(x)
			assert.Equal(t, pickFrom(p).Target, x.Target)
		})
	}
}

// The cards of older builds have no start times.
func TestTargetThatLeftIsPickedAgainLaterIfItsStartIsUnknown(t *testing.T) {
	c, advance := clock.NewManual(1000)
	p := picker.New(c, "a", 1)
	x := instanceCard("x", "a", 20)
	p.Learn(x)
	p.LearnAdvice(x, advice.Advice{Leaving: true})
	assert.Equal(t, pickFrom(p).Target, "")
	advance(29_000)
	p.Learn(x)
	assert.Equal(t, pickFrom(p).Target, "")
	advance(2000)
	p.Learn(x)
	assert.Equal(t, pickFrom(p).Target, x.Target)
}
