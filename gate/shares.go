package gate

import "bergamotloom.example/ticket"

const (
	// demandShare is how far one window moves the known demand of a team.
	demandShare = 0.2
	// fillRounds is how often the fair level is refined in one window.
	fillRounds = 16
	// forgetBelow is the demand, in requests a window, under which a team
	// without queued requests is forgotten.
	forgetBelow = 0.001
)

// shares keeps the teams' parts: who goes next in the queue, and which part of
// its demand a team gets when there's more than the target can do.
type shares struct {
	teams   map[string]*share
	virtual float64
}

type share struct {
	weight float64
	tag    float64
	queued int
	window float64
	demand float64
	part   float64
}

func newShares() shares {
	return shares{teams: map[string]*share{}}
}

func (s *shares) of(t *ticket.Ticket) *share {
	u, ok := s.teams[t.Team]
	if !ok {
		u = &share{part: 1}
		s.teams[t.Team] = u
	}
	u.weight = t.Weight
	if u.weight <= 0 {
		u.weight = 1
	}
	return u
}

func (s *shares) arrived(t *ticket.Ticket) {
	s.of(t).window += t.Demand()
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

func (s *shares) part(team string) float64 {
	u, ok := s.teams[team]
	if !ok {
		return 1
	}
	return u.part
}

// judge works out the teams' parts for a window in which the target can do
// the given share of the demand of the marginal rank. It returns the share
// that the least restricted teams get.
func (s *shares) judge(admitted float64) float64 {
	total := 0.0
	for name, u := range s.teams {
		u.demand += (u.window - u.demand) * demandShare
		u.window = 0
		if u.demand < forgetBelow && u.queued == 0 {
			delete(s.teams, name)
			continue
		}
		total += u.demand
	}
	return s.divide(total * admitted)
}

// divide gives each team the smaller of its demand and its weight times the
// fair level, which is set so that the sum is what there is to give.
func (s *shares) divide(capacity float64) float64 {
	fair := s.fairLevel(capacity)
	most := 0.0
	for _, u := range s.teams {
		u.part = 1
		if u.demand > fair*u.weight {
			u.part = fair * u.weight / u.demand
		}
		most = max(most, u.part)
	}
	if most <= 0 {
		return 0
	}
	for _, u := range s.teams {
		u.part /= most
	}
	return most
}

func (s *shares) fairLevel(capacity float64) float64 {
	low, high := 0.0, 0.0
	for _, u := range s.teams {
		high = max(high, u.demand/u.weight)
	}
	for range fillRounds {
		middle := (low + high) / 2
		sum := 0.0
		for _, u := range s.teams {
			sum += min(u.demand, middle*u.weight)
		}
		if sum > capacity {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}
