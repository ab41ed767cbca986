package trial

import (
	"math"

	"bergamotloom.example/team"
)

const (
	// shareIntervalMillis is the time between two updates of what a node needs.
	shareIntervalMillis = 1000
	// headroomFactor is the multiple of its need that a node keeps of a share.
	headroomFactor = 1.3
	// minFraction is the smallest fraction of a rate that a node asks for or gives up.
	minFraction = 0.005
	// shareMessageBytes is the size of a message that asks for or passes a share.
	shareMessageBytes = 40
)

// share is a node's fraction of a team's rate and burst, with its tokens. The
// fractions of a team add up to at most 1.
type share struct {
	team           team.Team
	fraction       float64
	tokens         float64
	lastFillMillis int64
	requests       int
	// need is the node's request rate in the last interval, as a fraction of the
	// team's rate.
	need float64
}

func (s *share) fill(now int64) {
	gained := s.team.Rate * s.fraction * float64(now-s.lastFillMillis) / millisPerSecond
	s.tokens = math.Min(s.tokens+gained, s.team.Burst*s.fraction)
	s.lastFillMillis = now
}

func (s *share) admit(now int64) bool {
	s.requests++
	s.fill(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// updateNeed computes the need from the requests since the last update.
func (s *share) updateNeed() {
	s.need = float64(s.requests) * millisPerSecond / shareIntervalMillis / s.team.Rate
	s.requests = 0
}

// remove removes up to the given fraction of the team's rate, with its part of the
// tokens, and returns both.
func (s *share) remove(fraction float64, now int64) (given, tokens float64) {
	s.fill(now)
	given = math.Min(fraction, s.fraction)
	if given <= 0 {
		return 0, 0
	}
	tokens = s.tokens * given / s.fraction
	s.fraction -= given
	s.tokens -= tokens
	return given, tokens
}

func (s *share) add(fraction, tokens float64, now int64) {
	s.fill(now)
	s.fraction += fraction
	s.tokens += tokens
}

// spare returns the fraction that the node doesn't need.
func (s *share) spare() float64 {
	return math.Max(s.fraction-s.need*headroomFactor, 0)
}

// lack returns the fraction that the node needs in addition.
func (s *share) lack() float64 {
	return math.Max(s.need*headroomFactor-s.fraction, 0)
}

// newShares returns equal shares of every team for all nodes.
func newShares(now int64) [nodes][]*share {
	var all [nodes][]*share
	for i := range nodes {
		for _, t := range teams() {
			all[i] = append(all[i], &share{
				team: t, fraction: 1.0 / nodes, tokens: t.Burst / nodes, lastFillMillis: now, need: 1.0 / nodes,
			})
		}
	}
	return all
}
