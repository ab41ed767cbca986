package gate

import (
	"slices"

	"bergamotloom.example/level"
	"bergamotloom.example/rank"
	"bergamotloom.example/ticket"
)

// idleDemand is the demand, in requests a window, below which a team without
// queued requests is forgotten.
const idleDemand = 0.001

// teamTable holds the state of each team: its use, which decides the order of
// the queue, and its demand and level, which decide what entries admit.
type teamTable struct {
	byName map[string]*teamState
	all    []*teamState
	totals [rank.Count]demandCount
	// virtualTime is the virtual time of fair queueing.
	virtualTime float64
}

type teamState struct {
	name   string
	weight float64
	// finishTag is the virtual finish time of the last request that started.
	finishTag float64
	queued    int
	// counts holds what the team requests in each rank, demand its part of the
	// demand of all teams.
	counts [rank.Count]demandCount
	demand [rank.Count]float64
	// allocated is the capacity of a window that the plan gives the team,
	// requested what the team asks for in the tier being planned.
	allocated float64
	requested float64
	level     level.Level
}

func newTeamTable() teamTable {
	return teamTable{byName: map[string]*teamState{}}
}

func (s *teamTable) of(t *ticket.Ticket) *teamState {
	u, ok := s.byName[t.Team]
	if !ok {
		u = &teamState{name: t.Team, level: level.Full}
		s.byName[t.Team] = u
		s.all = append(s.all, u)
	}
	u.weight = t.Weight
	if u.weight <= 0 {
		u.weight = 1
	}
	return u
}

func (s *teamTable) arrived(t *ticket.Ticket) {
	s.totals[t.Rank].add(t.Demand())
	s.of(t).counts[t.Rank].add(t.Demand())
}

// nextFinishTag returns the virtual finish time that the ticket would get in
// the queue: what its team used so far and has queued, over its weight.
func (s *teamTable) nextFinishTag(t *ticket.Ticket) float64 {
	u := s.of(t)
	return max(s.virtualTime, u.finishTag) + float64(u.queued+1)/u.weight
}

func (s *teamTable) enqueued(t *ticket.Ticket) {
	t.FinishTag = s.nextFinishTag(t)
	s.of(t).queued++
}

func (s *teamTable) dequeued(t *ticket.Ticket) {
	s.of(t).queued--
}

func (s *teamTable) started(t *ticket.Ticket) {
	u := s.of(t)
	s.virtualTime = max(s.virtualTime, u.finishTag)
	if t.FinishTag > 0 {
		s.virtualTime = max(s.virtualTime, t.FinishTag-1/u.weight)
	}
	u.finishTag = max(s.virtualTime, u.finishTag) + 1/u.weight
	t.FinishTag = 0
}

// level returns the level up to which entries admit new requests of the team.
func (s *teamTable) level(team string) level.Level {
	u, ok := s.byName[team]
	if !ok {
		return level.Full
	}
	return u.level
}

// closeWindow updates the demand from the window that is over. The total of a
// rank is the most reliable figure; the teams' own counts only divide it.
func (s *teamTable) closeWindow() {
	for _, u := range s.all {
		u.closeWindow()
	}
	s.all = slices.DeleteFunc(s.all, s.removeIfIdle)
	for r := range s.totals {
		s.totals[r].closeWindow(totalSmoothingFactor)
		s.divideDemand(r)
	}
}

// divideDemand divides the total of a rank among the teams.
func (s *teamTable) divideDemand(r int) {
	sum := 0.0
	for _, u := range s.all {
		sum += u.counts[r].mean
	}
	for _, u := range s.all {
		u.demand[r] = 0
		if sum > 0 {
			u.demand[r] = s.totals[r].mean * u.counts[r].mean / sum
		}
	}
}

// removeIfIdle removes an idle team from the index, and tells whether it did.
func (s *teamTable) removeIfIdle(u *teamState) bool {
	if !u.idle() {
		return false
	}
	delete(s.byName, u.name)
	return true
}

func (u *teamState) closeWindow() {
	for r := range u.counts {
		u.counts[r].closeWindow(teamSmoothingFactor)
	}
}

func (u *teamState) idle() bool {
	total := 0.0
	for _, c := range u.counts {
		total += c.mean
	}
	return total < idleDemand && u.queued == 0
}
