package facts_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/facts"
)

func TestPeersHandleAFactOnce(t *testing.T) {
	c, advance := clock.NewManual(0)
	var received []string
	publisher := facts.New(c, nil)
	receiver := facts.New(c, func(key string, value []byte) { received = append(received, key+"="+string(value)) })
	publisher.Publish("a", 0, []byte("1"), 100)
	published := publisher.Describe(card.Card{Peers: "x", Incarnation: 1})
	receiver.Learn(published)
	receiver.Learn(published)
	publisher.Publish("b", 0, nil, 200)
	receiver.Learn(publisher.Describe(card.Card{Peers: "x", Incarnation: 1}))
	assert.DeepEqual(t, received, []string{"a=1", "b="})
	advance(150)
	assert.Equal(t, len(publisher.Describe(card.Card{}).Facts), 1)
}

func TestNumbersRestartWithAnIncarnation(t *testing.T) {
	c, _ := clock.NewManual(0)
	received := 0
	receiver := facts.New(c, func(string, []byte) { received++ })
	for i := range int64(2) {
		publisher := facts.New(c, nil)
		publisher.Publish("a", 0, nil, 100)
		receiver.Learn(publisher.Describe(card.Card{Peers: "x", Incarnation: i + 1}))
	}
	assert.Equal(t, received, 2)
}

func TestACardCarriesTheLatestFacts(t *testing.T) {
	c, _ := clock.NewManual(0)
	publisher := facts.New(c, nil)
	for i := range 100 {
		publisher.Publish(strconv.Itoa(i), 0, nil, 100)
	}
	carried := publisher.Describe(card.Card{}).Facts
	assert.Equal(t, len(carried), 8)
	assert.Equal(t, carried[7].Key, "99")
}

func TestFactsWithoutAValuePushOutTheOthers(t *testing.T) {
	c, advance := clock.NewManual(0)
	publisher := facts.New(c, nil)
	publisher.Publish("crash", 0, []byte("value"), 100)
	for i := range 100 {
		publisher.Publish(strconv.Itoa(i), 0, nil, 100)
	}
	carried := publisher.Describe(card.Card{}).Facts
	assert.Equal(t, carried[0].Key, "crash")
	assert.Equal(t, len(carried), 9)
	// Values are bounded by their size, but for the latest one.
	for range 3 {
		publisher.Publish("large", 0, make([]byte, 3000), 100)
	}
	publisher.Publish("larger", 0, make([]byte, 10_000), 100)
	carried = publisher.Describe(card.Card{}).Facts
	assert.Equal(t, carried[len(carried)-1].Key, "larger")
	assert.Equal(t, len(carried), 9)
	advance(100)
	assert.Equal(t, len(publisher.Describe(card.Card{}).Facts), 0)
}
