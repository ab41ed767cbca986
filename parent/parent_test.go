package parent_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/parent"
	"bergamotloom.example/trip"
)

func TestFindReturnsTheRunningRequestFromTheCallsIdentity(t *testing.T) {
	c, advance := clock.NewManual(0)
	r := parent.New(c, ".")
	r.Begin("a1", trip.Trip{Root: "browse", ObjectiveMillis: 500})
	advance(120)
	r.Begin("a1.b2", trip.Trip{Root: "order"})
	got, ok := r.Find("a1.c3")
	assert.Assert(t, ok)
	assert.Equal(t, got.Root, "browse")
	assert.Equal(t, got.ObjectiveMillis, 380.0)
	got, ok = r.Find("a1.b2.d4")
	assert.Assert(t, ok)
	assert.Equal(t, got.Root, "order")
}

func TestFindFailsIfNoSuchRequestRuns(t *testing.T) {
	c, advance := clock.NewManual(0)
	r := parent.New(c, ".")
	r.Begin("a1", trip.Trip{Root: "browse"})
	advance(1)
	r.End("a1")
	for _, id := range []string{"a1.b2", "a1", "", ".x"} {
		_, ok := r.Find(id)
		assert.Assert(t, !ok, id)
	}
	assert.Equal(t, r.Len(), 0)
}
