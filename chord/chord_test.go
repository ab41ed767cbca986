package chord_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/chord"
)

func newRing(n int) *chord.Ring {
	r := &chord.Ring{}
	for i := range n {
		r.Add(fmt.Sprint("node", i))
		// Adding a node again changes nothing.
		r.Add(fmt.Sprint("node", i))
	}
	return r
}

func TestEveryNodeIsAFingerOfEquallyManyNodes(t *testing.T) {
	r := newRing(100)
	counts := map[string]int{}
	for i := range r.Len() {
		for _, f := range r.Fingers(r.At(i), nil) {
			counts[f]++
		}
	}
	for i := range r.Len() {
		// There are seven offsets below 100: 1, 2, 4 ... 64.
		assert.Equal(t, counts[r.At(i)], 7)
	}
}

func TestNeighboursWrapAround(t *testing.T) {
	r := newRing(5)
	after := r.Successors("node3", 9)
	before := r.Predecessors("node3", 9)
	slices.Reverse(before)
	assert.Equal(t, len(after), 4)
	assert.DeepEqual(t, after, before)
}

func TestOnlyTheKeysOfALeavingNodeMove(t *testing.T) {
	r, smaller := newRing(20), newRing(20)
	smaller.Remove("node7")
	for i := range 200 {
		key := fmt.Sprint("key", i)
		owners := r.NodesForKey(key, 3)
		remaining := slices.DeleteFunc(slices.Clone(owners), func(id string) bool { return id == "node7" })
		assert.DeepEqual(t, smaller.NodesForKey(key, 3)[:len(remaining)], remaining)
	}
}

func TestFingersChangeRarely(t *testing.T) {
	const nodeCount, replaced = 1000, 200
	r := newRing(nodeCount)
	var exact, kept []string
	exactChanges, keptChanges := 0, 0
	for i := range replaced {
		r.Remove(fmt.Sprint("node", i+1))
		r.Add(fmt.Sprint("new", i))
		nextExact, nextKept := r.Fingers("node0", nil), r.Fingers("node0", kept)
		exactChanges += countChanged(exact, nextExact)
		keptChanges += countChanged(kept, nextKept)
		exact, kept = nextExact, nextKept
	}
	t.Logf("%d of %d nodes replaced: %d exact fingers changed, %d when previous ones are kept", replaced, nodeCount, exactChanges, keptChanges)
	assert.Assert(t, keptChanges*5 < exactChanges)
}

func countChanged(previous, next []string) int {
	count := 0
	for i, f := range next {
		if len(previous) > 0 && previous[i] != f {
			count++
		}
	}
	return count
}
