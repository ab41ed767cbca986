package chord_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/chord"
)

func filled(n int) *chord.Ring {
	r := &chord.Ring{}
	for i := range n {
		r.Add(fmt.Sprint("node", i))
		r.Add(fmt.Sprint("node", i))
	}
	return r
}

func TestEveryNodeIsAFingerOfEquallyMany(t *testing.T) {
	r := filled(100)
	counts := map[string]int{}
	for i := range r.Len() {
		for _, f := range r.Fingers(r.At(i), nil) {
			counts[f]++
		}
	}
	for i := range r.Len() {
		assert.Equal(t, counts[r.At(i)], 7)
	}
}

func TestNeighboursGoAllTheWayRound(t *testing.T) {
	r := filled(5)
	after := r.Successors("node3", 9)
	before := r.Predecessors("node3", 9)
	slices.Reverse(before)
	assert.Equal(t, len(after), 4)
	assert.DeepEqual(t, after, before)
}

func TestOnlyTheKeysOfALeavingNodeMove(t *testing.T) {
	r, smaller := filled(20), filled(20)
	smaller.Remove("node7")
	for i := range 200 {
		key := fmt.Sprint("key", i)
		homes := r.Owners(key, 3)
		left := slices.DeleteFunc(slices.Clone(homes), func(id string) bool { return id == "node7" })
		assert.DeepEqual(t, smaller.Owners(key, 3)[:len(left)], left)
	}
}

func TestFingersMoveRarely(t *testing.T) {
	const nodes, replaced = 1000, 200
	r := filled(nodes)
	var exact, kept []string
	movedExact, movedKept := 0, 0
	for i := range replaced {
		r.Remove(fmt.Sprint("node", i+1))
		r.Add(fmt.Sprint("new", i))
		nextExact, nextKept := r.Fingers("node0", nil), r.Fingers("node0", kept)
		movedExact += changed(exact, nextExact)
		movedKept += changed(kept, nextKept)
		exact, kept = nextExact, nextKept
	}
	t.Logf("%d replaced of %d: %d fingers moved exactly, %d when kept", replaced, nodes, movedExact, movedKept)
	assert.Assert(t, movedKept*5 < movedExact)
}

func changed(old, next []string) int {
	count := 0
	for i, f := range next {
		if len(old) > 0 && old[i] != f {
			count++
		}
	}
	return count
}
