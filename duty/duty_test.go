package duty_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/duty"
)

// dutiesOf returns the duties of the nodes of a fleet in which node i hears only those
// for which hears is true, and those in lost can't reach the store.
func dutiesOf(nodes int, lost map[int]bool, hears func(i, j int) bool) (watching, probing []int) {
	var cards []card.Card
	for i := range nodes {
		cards = append(cards, card.Card{Peers: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), StoreLost: lost[i]})
	}
	for i := range nodes {
		var live []card.Card
		for j, c := range cards {
			if j != i && hears(i, j) {
				live = append(live, c)
			}
		}
		switch d := duty.Of(cards[i].Peers, lost[i], live); {
		case d.Watches:
			watching = append(watching, i)
		case d.Probes:
			probing = append(probing, i)
		}
	}
	return watching, probing
}

// leadersOf returns how many nodes of a fleet, in which all hear each other and reach the
// store, confirm for the others.
func leadersOf(nodes int) int {
	var cards []card.Card
	for i := range nodes {
		cards = append(cards, card.Card{Peers: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)})
	}
	leaders := 0
	for i, c := range cards {
		if duty.Of(c.Peers, false, slices.Concat(cards[:i], cards[i+1:])).Leads {
			leaders++
		}
	}
	return leaders
}

func all(int, int) bool { return true }

func TestFewNodesWatchTheStoreHoweverLargeTheFleetIs(t *testing.T) {
	for _, nodes := range []int{1, 3, 4, 30, 200, 600} {
		watching, probing := dutiesOf(nodes, nil, all)
		assert.Equal(t, len(watching), min(nodes, 4), "%d nodes", nodes)
		assert.Equal(t, leadersOf(nodes), 1, "%d nodes", nodes)
		assert.Equal(t, len(probing), 0)
	}
}

// The store turns a third of the nodes away.
func TestOthersWatchTheStoreInPlaceOfThoseTurnedAway(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		lost := make(map[int]bool)
		for i := range 194 {
			lost[i] = random.Float64() < 0.35
		}
		watching, probing := dutiesOf(194, lost, all)
		assert.Equal(t, len(watching), 4, "seed %d", seed)
		assert.Equal(t, len(probing), 2, "seed %d", seed)
		for _, i := range watching {
			assert.Assert(t, !lost[i])
		}
	}
}

// The store is away for all, as each node finds out when it's its turn.
func TestFewNodesLookForTheReturnOfTheStore(t *testing.T) {
	lost := make(map[int]bool)
	calls := 0
	for {
		watching, _ := dutiesOf(194, lost, all)
		if len(watching) == 0 {
			break
		}
		for _, i := range watching {
			lost[i] = true
			calls++
		}
	}
	assert.Equal(t, calls, 16)
	watching, probing := dutiesOf(194, lost, all)
	assert.Equal(t, len(watching), 0)
	assert.Equal(t, len(probing), 2)
	// Once one of them finds it again, it watches; the others follow one by one.
	delete(lost, probing[0])
	watching, probing = dutiesOf(194, lost, all)
	assert.Equal(t, len(watching), 1)
	assert.Equal(t, len(probing), 2)
}

// Each side of a partition has nodes that watch, if they reach the store.
func TestBothSidesOfAPartitionWatchTheStore(t *testing.T) {
	side := func(i int) bool { return i%3 == 0 }
	watching, _ := dutiesOf(194, nil, func(i, j int) bool { return side(i) == side(j) })
	small := 0
	for _, i := range watching {
		if side(i) {
			small++
		}
	}
	assert.Equal(t, small, 4)
	assert.Equal(t, len(watching)-small, 4)
}
