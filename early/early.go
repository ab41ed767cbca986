// Package early refuses requests at the entry, before any work is spent on
// them, by the thresholds that answers carried back.
package early

import (
	"bergamotloom.example/clock"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

const (
	// learnShare is how far one answer moves what is known of its route.
	learnShare = 0.3
	// reopenStepsPerMilli is how fast a route opens while no answer tells
	// otherwise, in steps of a level. It makes the probes after an overload.
	reopenStepsPerMilli = 0.5
	// partReopenPerMilli is the same for the part of one team.
	partReopenPerMilli = 0.0005
	// reopenAfterMillis is how old the last answer must be for that.
	reopenAfterMillis = 100
	// leastPart keeps the part of a team from closing for good.
	leastPart = 1.0 / 64
)

// Filter decides at one entry which new requests go on. It doesn't lock: the
// node holds a mutex for it.
type Filter struct {
	clock  clock.Clock
	routes map[string]*known
	parts  map[teamRoute]*known
}

type teamRoute struct {
	route string
	team  string
}

// known is one learned figure and the time when an answer last told of it.
type known struct {
	value float64
	at    float64
}

// New returns a filter that lets everything pass until answers tell otherwise.
func New(c clock.Clock) *Filter {
	return &Filter{
		clock:  c,
		routes: map[string]*known{},
		parts:  map[teamRoute]*known{},
	}
}

// Passes decides on a new request of a route. The mark is drawn evenly from 0
// to 1. It returns the share of such requests that pass, for ticket.Passed,
// and whether this one does.
func (f *Filter) Passes(route, team string, r rank.Rank, mark float64) (float64, bool) {
	now := f.clock.Fine()
	base := level.Level(f.routeLevel(route, now)).Share(r)
	share := base
	if base < 1 {
		share *= f.part(teamRoute{route, team}, now)
	}
	return share, mark < share
}

// Learn takes what an answer told: the lowest threshold in its chain and the
// part (0 to 1) of the team that goes with it.
func (f *Filter) Learn(route, team string, threshold level.Level, part float64) {
	now := f.clock.Fine()
	f.learnRoute(route, threshold, now)
	f.learnPart(teamRoute{route, team}, part, now)
}

func (f *Filter) learnRoute(route string, threshold level.Level, now float64) {
	k, ok := f.routes[route]
	if !ok {
		if threshold >= level.Full {
			return
		}
		k = &known{value: float64(level.Full), at: now}
		f.routes[route] = k
	}
	k.learn(float64(threshold), now, reopenStepsPerMilli, float64(level.Full))
}

func (f *Filter) learnPart(key teamRoute, part, now float64) {
	k, ok := f.parts[key]
	if !ok {
		if part >= 1 {
			return
		}
		k = &known{value: 1, at: now}
		f.parts[key] = k
	}
	k.learn(max(part, leastPart), now, partReopenPerMilli, 1)
}

func (f *Filter) routeLevel(route string, now float64) float64 {
	k, ok := f.routes[route]
	if !ok {
		return float64(level.Full)
	}
	return k.current(now, reopenStepsPerMilli, float64(level.Full))
}

func (f *Filter) part(key teamRoute, now float64) float64 {
	k, ok := f.parts[key]
	if !ok {
		return 1
	}
	return k.current(now, partReopenPerMilli, 1)
}

// current returns the figure, opened by the time without answers.
func (k *known) current(now, perMilli, full float64) float64 {
	silent := now - k.at - reopenAfterMillis
	if silent <= 0 {
		return k.value
	}
	return min(k.value+silent*perMilli, full)
}

func (k *known) learn(value, now, perMilli, full float64) {
	from := k.current(now, perMilli, full)
	k.value = from + (value-from)*learnShare
	k.at = now
}
