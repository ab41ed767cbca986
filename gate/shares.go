package gate

import (
	"slices"

	"bergamotloom.example/level"
	"bergamotloom.example/rank"
	"bergamotloom.example/ticket"
)

// forgetBelow is the demand, in requests a window, under which a team without
// queued requests is forgotten.
const forgetBelow = 0.001

// shares keeps what is known of each team: its use, which decides who goes
// next in the queue, and its demand and level, which decide what entries let
// pass.
type shares struct {
	byName  map[string]*share
	teams   []*share
	totals  [rank.Count]count
	virtual float64
}

type share struct {
	name   string
	weight float64
	tag    float64
	queued int
	// counts holds what the team asked for of each rank, demand what that
	// comes to of the demand of all teams.
	counts [rank.Count]count
	demand [rank.Count]float64
	// given is what the plan gives the team of a window, asked what it asks
	// for in the tier that the plan looks at.
	given float64
	asked float64
	level level.Level
}

func newShares() shares {
	return shares{byName: map[string]*share{}}
}

func (s *shares) of(t *ticket.Ticket) *share {
	u, ok := s.byName[t.Team]
	if !ok {
		u = &share{name: t.Team, level: level.Full}
		s.byName[t.Team] = u
		s.teams = append(s.teams, u)
	}
	u.weight = t.Weight
	if u.weight <= 0 {
		u.weight = 1
	}
	return u
}

func (s *shares) arrived(t *ticket.Ticket) {
	s.totals[t.Rank].add(t.Demand())
	s.of(t).counts[t.Rank].add(t.Demand())
}

// nextTag returns the fair tag that the ticket would get in the queue: what
// its team used up to now and what it has in the queue, over its weight.
func (s *shares) nextTag(t *ticket.Ticket) float64 {
	u := s.of(t)
	return max(s.virtual, u.tag) + float64(u.queued+1)/u.weight
}

func (s *shares) queued(t *ticket.Ticket) {
	t.FinishTag = s.nextTag(t)
	s.of(t).queued++
}

// left takes a ticket that is no longer in the queue.
func (s *shares) left(t *ticket.Ticket) {
	s.of(t).queued--
}

func (s *shares) started(t *ticket.Ticket) {
	u := s.of(t)
	s.virtual = max(s.virtual, u.tag)
	if t.FinishTag > 0 {
		s.virtual = max(s.virtual, t.FinishTag-1/u.weight)
	}
	u.tag = max(s.virtual, u.tag) + 1/u.weight
	t.FinishTag = 0
}

// level returns the level up to which new requests of the team may pass.
func (s *shares) level(team string) level.Level {
	u, ok := s.byName[team]
	if !ok {
		return level.Full
	}
	return u.level
}

// learn takes the demand of the window that is over. The total of a rank is
// known best; the teams' own counts only divide it.
func (s *shares) learn() {
	for _, u := range s.teams {
		u.learn()
	}
	s.teams = slices.DeleteFunc(s.teams, s.forget)
	for r := range s.totals {
		s.totals[r].learn(calmTotal)
		s.spread(r)
	}
}

// spread divides the total of a rank among the teams.
func (s *shares) spread(r int) {
	sum := 0.0
	for _, u := range s.teams {
		sum += u.counts[r].usual
	}
	for _, u := range s.teams {
		u.demand[r] = 0
		if sum > 0 {
			u.demand[r] = s.totals[r].usual * u.counts[r].usual / sum
		}
	}
}

// forget drops the team from the index when it's idle, and tells whether it is.
func (s *shares) forget(u *share) bool {
	if !u.idle() {
		return false
	}
	delete(s.byName, u.name)
	return true
}

func (u *share) learn() {
	for r := range u.counts {
		u.counts[r].learn(calmTeam)
	}
}

func (u *share) idle() bool {
	total := 0.0
	for _, c := range u.counts {
		total += c.usual
	}
	return total < forgetBelow && u.queued == 0
}
