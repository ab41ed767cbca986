// Package early refuses requests at the entry, before any work is spent on
// them, by the thresholds that responses carried back.
package early

import (
	"slices"

	"bergamotloom.example/clock"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

const (
	// smoothingFactor is the weight of one response in an estimate.
	smoothingFactor = 0.3
	// reopenStepsPerMilli is how fast the level of a service rises again while
	// no response reports on it, in level steps (level.Steps per rank) a
	// millisecond. The requests admitted that way probe the service after an
	// overload.
	reopenStepsPerMilli = 0.5
	// reopenAfterMillis is how long after the last response this begins.
	reopenAfterMillis = 100
	// fullThreshold is the threshold of a service without restriction.
	fullThreshold = float64(level.Full)
)

// Filter decides at one entry which new requests are admitted. Each response
// names the service that restricts its chain the most, so that what one route's
// responses report on a service deep in the chain applies to all routes that
// lead through it. It doesn't lock: the node holds a mutex for it.
type Filter struct {
	clock clock.Clock
	// servicesByRoute holds the services that have restricted each route at
	// least once.
	servicesByRoute map[string][]string
	thresholds      map[string]*estimate
	// teamOffsets holds how far a team's level is below the threshold.
	teamOffsets map[teamService]*estimate
}

type teamService struct {
	service string
	team    string
}

// estimate is the EWMA of a value that responses report.
type estimate struct {
	value         float64
	updatedMillis float64
}

// New returns a filter that admits everything until responses report otherwise.
func New(c clock.Clock) *Filter {
	return &Filter{
		clock:           c,
		servicesByRoute: map[string][]string{},
		thresholds:      map[string]*estimate{},
		teamOffsets:     map[teamService]*estimate{},
	}
}

// Admits decides on a new request of a route. The draw is a uniform random
// number in [0, 1), passed in so that the decision is deterministic. The results
// are the admitted fraction of such requests, for Ticket.AdmittedFraction, and
// whether this one is admitted.
func (f *Filter) Admits(route, team string, r rank.Rank, draw float64) (float64, bool) {
	now := f.clock.Fine()
	lowest := fullThreshold
	for _, s := range f.servicesByRoute[route] {
		lowest = min(lowest, f.teamLevel(s, team, now))
	}
	fraction := level.Level(lowest).AdmittedFraction(r)
	return fraction, draw < fraction
}

// teamLevel returns the level of the team at the service. Only the threshold
// itself may restrict the critical rank, not the offset of the team: level.Steps
// admits all of that rank.
func (f *Filter) teamLevel(service, team string, now float64) float64 {
	threshold := f.thresholds[service].current(now, fullThreshold)
	offset, ok := f.teamOffsets[teamService{service, team}]
	if !ok {
		return threshold
	}
	return max(threshold-offset.current(now, 0), min(threshold, level.Steps))
}

// RecordResponse takes what a response reports: the service whose gate has the
// lowest team level in the chain, its threshold, and the level of the request's
// team there. The offset of a team below the threshold is learned from its own
// responses only. With a level of Full the service is ignored and may be empty.
func (f *Filter) RecordResponse(route, team, service string, threshold, teamLevel level.Level) {
	now := f.clock.Fine()
	if min(threshold, teamLevel) < level.Full {
		f.addService(route, service, now)
	}
	for _, s := range f.servicesByRoute[route] {
		f.updateService(s, team, s == service, threshold, teamLevel, now)
	}
}

// addService records that the service restricts the route.
func (f *Filter) addService(route, service string, now float64) {
	if _, ok := f.thresholds[service]; !ok {
		f.thresholds[service] = &estimate{value: fullThreshold, updatedMillis: now}
	}
	if !slices.Contains(f.servicesByRoute[route], service) {
		f.servicesByRoute[route] = append(f.servicesByRoute[route], service)
	}
}

// updateService updates the estimates of one service. A service that the
// response doesn't name is assumed to have at least the threshold of the named
// one.
func (f *Filter) updateService(service, team string, isNamed bool, threshold, teamLevel level.Level, now float64) {
	e := f.thresholds[service]
	if !isNamed && e.value >= float64(threshold) {
		return
	}
	e.update(float64(threshold), now, fullThreshold)
	f.updateTeamOffset(teamService{service, team}, float64(threshold-teamLevel), now)
}

func (f *Filter) updateTeamOffset(key teamService, offset, now float64) {
	e, ok := f.teamOffsets[key]
	if !ok && offset <= 0 {
		return
	}
	if !ok {
		e = &estimate{updatedMillis: now}
		f.teamOffsets[key] = e
	}
	e.update(offset, now, 0)
}

// current returns the value, moved towards unrestricted by reopenStepsPerMilli
// for each millisecond beyond reopenAfterMillis without a response.
func (e *estimate) current(now, unrestricted float64) float64 {
	unreportedMillis := now - e.updatedMillis - reopenAfterMillis
	if unreportedMillis <= 0 {
		return e.value
	}
	steps := unreportedMillis * reopenStepsPerMilli
	if unrestricted > e.value {
		return min(e.value+steps, unrestricted)
	}
	return max(e.value-steps, unrestricted)
}

func (e *estimate) update(reported, now, unrestricted float64) {
	from := e.current(now, unrestricted)
	e.value = from + (reported-from)*smoothingFactor
	e.updatedMillis = now
}
