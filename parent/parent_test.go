package parent_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/parent"
	"bergamotloom.example/trip"
)

func TestCallIsTracedToTheRunningRequestThatItIsNamedAfter(t *testing.T) {
	c, advance := clock.NewManual(0)
	b := parent.New(c, ".")
	b.Begin("a1", trip.Trip{Root: "browse", ObjectiveMillis: 500})
	advance(120)
	b.Begin("a1.b2", trip.Trip{Root: "order"})
	got, ok := b.Find("a1.c3")
	assert.Assert(t, ok)
	assert.Equal(t, got.Root, "browse")
	assert.Equal(t, got.ObjectiveMillis, 380.0)
	got, ok = b.Find("a1.b2.d4")
	assert.Assert(t, ok)
	assert.Equal(t, got.Root, "order")
}

func TestCallOfNoRunningRequestHasNoParent(t *testing.T) {
	c, advance := clock.NewManual(0)
	b := parent.New(c, ".")
	b.Begin("a1", trip.Trip{Root: "browse"})
	advance(1)
	b.End("a1")
	for _, call := range []string{"a1.b2", "a1", "", ".x"} {
		_, ok := b.Find(call)
		assert.Assert(t, !ok, call)
	}
	assert.Equal(t, b.Len(), 0)
}
