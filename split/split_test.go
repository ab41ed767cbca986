package split_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bergamotloom.example/part"
	"bergamotloom.example/route"
	"bergamotloom.example/split"
)

func TestRouteWithoutPartsGoesToItsService(t *testing.T) {
	assert.Equal(t, split.New(1).Next(route.Route{Name: "r", Service: "stock"}), "stock")
}

func TestFractionsAreCloseToTheWeightsOverFewRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 5).Draw(r, "weights")
		weighted := route.Route{Name: "r"}
		sum := 0
		for i, w := range weights {
			sum += w
			weighted.Parts = append(weighted.Parts, part.Part{Service: string(rune('a' + i)), Weight: float64(w)})
		}
		if sum == 0 {
			return
		}
		s := split.New(rapid.Uint64().Draw(r, "seed"))
		count := make(map[string]int)
		const requests, maxDifference = 200, 3
		for range requests {
			count[s.Next(weighted)]++
		}
		for _, p := range weighted.Parts {
			want := float64(requests) * p.Weight / float64(sum)
			if math.Abs(float64(count[p.Service])-want) > maxDifference {
				r.Fatalf("service %s got %d requests, want about %v", p.Service, count[p.Service], want)
			}
		}
	})
}

func TestChangedWeightsTakeEffectAtOnce(t *testing.T) {
	s := split.New(1)
	weighted := route.Route{Name: "r", Parts: []part.Part{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}}
	for range 50 {
		assert.Equal(t, s.Next(weighted), "a")
	}
	weighted.Parts = []part.Part{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}
	assert.Equal(t, s.Next(weighted), "b")
}
