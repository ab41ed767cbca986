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

// teamTable holds the state of each team: its use of slots in virtual time, which
// decides the order of the queue, and its demand and level, which decide what
// entries admit.
type teamTable struct {
	byName map[string]*teamState
	all    []*teamState
	totals [rank.Count]demandCount
	// virtualTime is the virtual time of fair queueing: the largest virtual
	// start time of a started request. An idle team resumes from it.
	virtualTime float64
}

type teamState struct {
	name   string
	weight float64
	// finishTag is the virtual finish time of the last request that started.
	finishTag float64
	queued    int
	// counts holds the requests of the team by rank, demand the team's portion
	// of the total demand of the rank, in requests per window.
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

// getOrAdd returns the state of the ticket's team, with the ticket's weight.
func (tt *teamTable) getOrAdd(t *ticket.Ticket) *teamState {
	ts, ok := tt.byName[t.Team]
	if !ok {
		ts = &teamState{name: t.Team, level: level.Full}
		tt.byName[t.Team] = ts
		tt.all = append(tt.all, ts)
	}
	ts.weight = t.Weight
	if ts.weight <= 0 {
		ts.weight = 1
	}
	return ts
}

func (tt *teamTable) arrived(t *ticket.Ticket) {
	tt.totals[t.Rank].add(t.Demand())
	tt.getOrAdd(t).counts[t.Rank].add(t.Demand())
}

// nextFinishTag returns the virtual finish time that the ticket would get in
// the queue: the finish tag of its team, or the virtual time if that is later,
// plus the queued requests and this one over the weight.
func (tt *teamTable) nextFinishTag(t *ticket.Ticket) float64 {
	ts := tt.getOrAdd(t)
	return max(tt.virtualTime, ts.finishTag) + float64(ts.queued+1)/ts.weight
}

func (tt *teamTable) enqueued(t *ticket.Ticket) {
	t.FinishTag = tt.nextFinishTag(t)
	tt.getOrAdd(t).queued++
}

func (tt *teamTable) dequeued(t *ticket.Ticket) {
	tt.getOrAdd(t).queued--
}

// started charges the team for one request, and advances the virtual time to
// the virtual start time of the request.
func (tt *teamTable) started(t *ticket.Ticket) {
	ts := tt.getOrAdd(t)
	tt.virtualTime = max(tt.virtualTime, ts.finishTag)
	if t.FinishTag > 0 {
		tt.virtualTime = max(tt.virtualTime, t.FinishTag-1/ts.weight)
	}
	ts.finishTag = max(tt.virtualTime, ts.finishTag) + 1/ts.weight
	t.FinishTag = 0
}

// level returns the level up to which entries admit new requests of the team.
func (tt *teamTable) level(team string) level.Level {
	ts, ok := tt.byName[team]
	if !ok {
		return level.Full
	}
	return ts.level
}

// closeWindow updates the demand from the window that is over. The total of a
// rank has less noise than the counts of the teams, which only divide it.
func (tt *teamTable) closeWindow() {
	for _, ts := range tt.all {
		ts.closeWindow()
	}
	tt.all = slices.DeleteFunc(tt.all, tt.removeIfIdle)
	for r := range tt.totals {
		tt.totals[r].closeWindow(totalSmoothingFactor)
		tt.divideDemand(r)
	}
}

// divideDemand divides the total of a rank among the teams.
func (tt *teamTable) divideDemand(r int) {
	sum := 0.0
	for _, ts := range tt.all {
		sum += ts.counts[r].mean
	}
	for _, ts := range tt.all {
		ts.demand[r] = 0
		if sum > 0 {
			ts.demand[r] = tt.totals[r].mean * ts.counts[r].mean / sum
		}
	}
}

// removeIfIdle removes an idle team from the index, and reports whether it did.
func (tt *teamTable) removeIfIdle(ts *teamState) bool {
	if !ts.idle() {
		return false
	}
	delete(tt.byName, ts.name)
	return true
}

func (ts *teamState) closeWindow() {
	for r := range ts.counts {
		ts.counts[r].closeWindow(teamSmoothingFactor)
	}
}

func (ts *teamState) idle() bool {
	total := 0.0
	for _, c := range ts.counts {
		total += c.mean
	}
	return total < idleDemand && ts.queued == 0
}
