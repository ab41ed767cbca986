package screen_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/grade"
	"bergamotloom.example/screen"
)

// With the thresholds of these tests, grade 5 has a minimum admitted fraction of
// 0.1. A threshold of 5.5 admits half of the rest too: 0.1 + 0.9*0.5 = 0.55.
const browseGrade, orderGrade = grade.Grade(5), grade.Grade(3)

func gateCard(peer string, threshold float32, roots ...string) card.Card {
	c := card.Card{Peers: peer, Service: "stock", Target: "t", Limit: 50, RunMillis: 20, Cutoff: threshold, MinFractionScale: 1, RootFractions: make(map[uint32]float32)}
	for _, r := range roots {
		c.RootFractions[card.Hash(r)] = 0.5
	}
	return c
}

func TestOnlyRootsThatUseTheServiceAreShed(t *testing.T) {
	c, _ := clock.NewManual(0)
	s := screen.New(c, 1)
	s.Learn(gateCard("a", 5.5, "browse", "order"))
	assert.Equal(t, s.AdmittedFraction("browse", browseGrade), 0.55)
	assert.Equal(t, s.AdmittedFraction("order", orderGrade), 1.0)
	assert.Equal(t, s.AdmittedFraction("sheets", browseGrade), 1.0)
}

func TestAdmittedFractionOfAServiceIsTheMeanOfItsGates(t *testing.T) {
	c, _ := clock.NewManual(0)
	s := screen.New(c, 1)
	s.Learn(gateCard("a", 5.4, "browse"))
	s.Learn(gateCard("b", 5.8, "browse"))
	s.Learn(gateCard("idle", 9))
	// The mean of 0.46, 0.82 and 1.
	assert.Assert(t, s.AdmittedFraction("browse", browseGrade) > 0.755 && s.AdmittedFraction("browse", browseGrade) < 0.765)
}

func TestEveryGradeKeepsAMinimumAdmittedFraction(t *testing.T) {
	c, _ := clock.NewManual(0)
	s := screen.New(c, 1)
	s.Learn(gateCard("a", 2, "browse"))
	assert.Equal(t, s.AdmittedFraction("browse", browseGrade), 0.1)
}

func TestThresholdsOfStaleAndStoppingNodesAreIgnored(t *testing.T) {
	c, advance := clock.NewManual(0)
	s := screen.New(c, 1)
	s.Learn(gateCard("a", 2, "browse"))
	advance(5000)
	assert.Equal(t, s.AdmittedFraction("browse", browseGrade), 1.0)
	s.Learn(gateCard("a", 5.5, "browse"))
	advance(100)
	assert.Equal(t, s.AdmittedFraction("browse", browseGrade), 0.55)
	stopping := gateCard("a", 5.5, "browse")
	stopping.Stopping = true
	s.Learn(stopping)
	advance(100)
	assert.Equal(t, s.AdmittedFraction("browse", browseGrade), 1.0)
}

func TestRequestsAreAdmittedAtRandomByTheAdmittedFraction(t *testing.T) {
	c, _ := clock.NewManual(0)
	s := screen.New(c, 1)
	s.Learn(gateCard("a", 5.5, "browse"))
	admitted := 0
	for range 1000 {
		if s.Admits("browse", browseGrade) {
			admitted++
		}
	}
	assert.Assert(t, admitted > 490 && admitted < 610, "%d of 1000 requests admitted", admitted)
}

// What a rate limit of a target doesn't admit goes to targets with free capacity
// before anything is refused.
func TestRateLimitedTargetShedsNothingWhileOthersHaveCapacity(t *testing.T) {
	c, _ := clock.NewManual(0)
	s := screen.New(c, 1)
	limited := gateCard("a", 2, "browse")
	limited.RateLimit = 500
	s.Learn(limited)
	// Half of the 50 slots are free, a capacity of 1250 a second for the 450 that
	// the other target doesn't take.
	free := gateCard("b", 9, "browse")
	free.Running = 25
	s.Learn(free)
	assert.Equal(t, s.AdmittedFraction("browse", browseGrade), 1.0)
	// 2.5 a millisecond at b and 0.05 of 0.5 at a.
	busy := free
	busy.Running = 50
	s.Learn(busy)
	c, advance := clock.NewManual(0)
	s = screen.New(c, 1)
	s.Learn(limited)
	s.Learn(busy)
	advance(60)
	got := s.AdmittedFraction("browse", browseGrade)
	assert.Assert(t, got > 0.849 && got < 0.851, "%v", got)
}

// A target whose slots are all in use at one moment, but not on average, has
// capacity for what others don't admit.
func TestMomentOfFullUseDoesNotRefuseWhatARateLimitSheds(t *testing.T) {
	c, _ := clock.NewManual(0)
	s := screen.New(c, 1)
	limited := gateCard("a", 2, "browse")
	limited.RateLimit = 50
	s.Learn(limited)
	free := gateCard("b", 9, "browse")
	for range 10 {
		free.Running = 30
		s.Learn(free)
	}
	free.Running = 50
	s.Learn(free)
	assert.Equal(t, s.AdmittedFraction("browse", browseGrade), 1.0)
}
