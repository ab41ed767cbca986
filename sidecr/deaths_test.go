package sidecr

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
)

func TestTargetsThatDiedAreThoseReplacedWithoutANotice(t *testing.T) {
	for _, c := range []struct {
		name   string
		second card.Card
		died   bool
	}{
		{"the same target", card.Card{TargetStartMillis: 10}, false},
		{"not known yet after a restart of the node", card.Card{}, false},
		{"another target", card.Card{TargetStartMillis: 20}, true},
		{"another target after a planned end", card.Card{TargetStartMillis: 20, LeftTarget: "a", LeftStartMillis: 10}, false},
		{"another target after the planned end of an earlier one", card.Card{TargetStartMillis: 20, LeftTarget: "z", LeftStartMillis: 5}, true},
		{"a card with an older target", card.Card{TargetStartMillis: 9}, false},
	} {
		targets := &targetStarts{millis: make(map[string]int64)}
		_, died := targets.learn(card.Card{TargetStartMillis: 10})
		assert.Check(t, !died, c.name)
		startMillis, died := targets.learn(c.second)
		assert.Equal(t, died, c.died, c.name)
		assert.Check(t, !died || startMillis == 10, c.name)
	}
}
