package trial

import (
	"math"

	"bergamotloom.example/team"
)

const (
	// shareMillis is the time between two looks at whether shares fit.
	shareMillis = 1000
	// slack is how much more than its present need a node keeps of a share.
	slack = 1.3
	// leastPart is the smallest part of a rate that a node asks or gives up.
	leastPart = 0.005
	// shareBytes is the size of a message that asks for or passes a share.
	shareBytes = 40
)

// share is a part of a team's rate and burst, with the tokens in it. All parts
// of a team add up to at most 1.
type share struct {
	team  team.Team
	part  float64
	level float64
	last  int64
	asked int
	// need is the part that the node's requests would have taken lately.
	need float64
}

func (s *share) fill(now int64) {
	gained := s.team.Rate * s.part * float64(now-s.last) / millisPerSecond
	s.level = math.Min(s.level+gained, s.team.Burst*s.part)
	s.last = now
}

func (s *share) take(now int64) bool {
	s.asked++
	s.fill(now)
	if s.level < 1 {
		return false
	}
	s.level--
	return true
}

// measure works out the need since the last look.
func (s *share) measure() {
	s.need = float64(s.asked) * millisPerSecond / shareMillis / s.team.Rate
	s.asked = 0
}

// give takes a part away, with the tokens in it, for another holder.
func (s *share) give(part float64, now int64) (given, level float64) {
	s.fill(now)
	given = math.Min(part, s.part)
	if given <= 0 {
		return 0, 0
	}
	level = s.level * given / s.part
	s.part -= given
	s.level -= level
	return given, level
}

func (s *share) add(part, level float64, now int64) {
	s.fill(now)
	s.part += part
	s.level += level
}

// spare is what the node can do without.
func (s *share) spare() float64 {
	return math.Max(s.part-s.need*slack, 0)
}

// lack is what the node would need more.
func (s *share) lack() float64 {
	return math.Max(s.need*slack-s.part, 0)
}

// newShares returns equal shares for all nodes.
func newShares(now int64) [nodes][]*share {
	var all [nodes][]*share
	for i := range nodes {
		for _, t := range teams() {
			all[i] = append(all[i], &share{
				team: t, part: 1.0 / nodes, level: t.Burst / nodes, last: now, need: 1.0 / nodes,
			})
		}
	}
	return all
}
