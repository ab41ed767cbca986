package facts_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/facts"
)

func TestPeersTakeAFactInOnce(t *testing.T) {
	c, advance := clock.NewManual(0)
	var heard []string
	teller := facts.New(c, nil)
	hearer := facts.New(c, func(key string, value []byte) { heard = append(heard, key+"="+string(value)) })
	teller.Publish("a", 0, []byte("1"), 100)
	told := teller.Describe(card.Card{Peers: "x", Incarnation: 1})
	hearer.Learn(told)
	hearer.Learn(told)
	teller.Publish("b", 0, nil, 200)
	hearer.Learn(teller.Describe(card.Card{Peers: "x", Incarnation: 1}))
	assert.DeepEqual(t, heard, []string{"a=1", "b="})
	advance(150)
	assert.Equal(t, len(teller.Describe(card.Card{}).Facts), 1)
}

func TestNumbersBeginAnewWithAStart(t *testing.T) {
	c, _ := clock.NewManual(0)
	heard := 0
	hearer := facts.New(c, func(string, []byte) { heard++ })
	for start := range int64(2) {
		teller := facts.New(c, nil)
		teller.Publish("a", 0, nil, 100)
		hearer.Learn(teller.Describe(card.Card{Peers: "x", Incarnation: start + 1}))
	}
	assert.Equal(t, heard, 2)
}

func TestCardsStayBounded(t *testing.T) {
	c, _ := clock.NewManual(0)
	teller := facts.New(c, nil)
	for i := range 100 {
		teller.Publish(strconv.Itoa(i), 0, nil, 100)
	}
	carried := teller.Describe(card.Card{}).Facts
	assert.Equal(t, len(carried), 8)
	assert.Equal(t, carried[7].Key, "99")
}
