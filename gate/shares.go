package gate

import (
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
	teams   map[string]*share
	virtual float64
}

type share struct {
	weight float64
	tag    float64
	queued int
	// counts holds the demand of each rank.
	counts [rank.Count]count
	// given is what the plan gives the team of a window, asked what it asks
	// for in the tier that the plan looks at.
	given float64
	asked float64
	level level.Level
}

func newShares() shares {
	return shares{teams: map[string]*share{}}
}

func (s *shares) of(t *ticket.Ticket) *share {
	u, ok := s.teams[t.Team]
	if !ok {
		u = &share{level: level.Full}
		s.teams[t.Team] = u
	}
	u.weight = t.Weight
	if u.weight <= 0 {
		u.weight = 1
	}
	return u
}

func (s *shares) arrived(t *ticket.Ticket) {
	s.of(t).counts[t.Rank].add(t.Demand())
}

// nextTag returns the fair tag that the ticket would get in the queue: what
// its team used up to now and what it has in the queue, over its weight.
func (s *shares) nextTag(t *ticket.Ticket) float64 {
	u := s.of(t)
	return max(s.virtual, u.tag) + float64(u.queued+1)/u.weight
}

func (s *shares) queued(t *ticket.Ticket) {
	t.Tag = s.nextTag(t)
	s.of(t).queued++
}

// left takes a ticket that is no longer in the queue.
func (s *shares) left(t *ticket.Ticket) {
	s.of(t).queued--
}

func (s *shares) started(t *ticket.Ticket) {
	u := s.of(t)
	s.virtual = max(s.virtual, u.tag)
	if t.Tag > 0 {
		s.virtual = max(s.virtual, t.Tag-1/u.weight)
	}
	u.tag = max(s.virtual, u.tag) + 1/u.weight
	t.Tag = 0
}

// level returns the level up to which new requests of the team may pass.
func (s *shares) level(team string) level.Level {
	u, ok := s.teams[team]
	if !ok {
		return level.Full
	}
	return u.level
}

// learn takes the demand of the window that is over.
func (s *shares) learn() {
	for name, u := range s.teams {
		total := 0.0
		for r := range u.counts {
			u.counts[r].learn()
			total += u.counts[r].usual
		}
		if total < forgetBelow && u.queued == 0 {
			delete(s.teams, name)
		}
	}
}
