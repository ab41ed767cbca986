package ring_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/ring"
)

func TestFullRingDropsNewValuesAndKeepsOrder(t *testing.T) {
	r := ring.New[int](2)
	assert.Assert(t, r.Put(1))
	assert.Assert(t, r.Put(2))
	assert.Assert(t, !r.Put(3))
	assert.Equal(t, r.Dropped(), int64(1))
	v, ok := r.Take(t.Context())
	assert.Assert(t, ok)
	assert.Equal(t, v, 1)
	assert.DeepEqual(t, r.TakeUpTo(5), []int{2})
}

func TestTakeEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, ok := ring.New[int](1).Take(ctx)
	assert.Assert(t, !ok)
}
