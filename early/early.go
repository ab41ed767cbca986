// Package early refuses requests at the entry, before any work is spent on
// them, by the thresholds that answers carried back.
package early

import (
	"slices"

	"bergamotloom.example/clock"
	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

const (
	// learnShare is how far one answer moves what is known of a service.
	learnShare = 0.3
	// reopenStepsPerMilli is how fast a service opens while no answer tells of
	// it, in steps of a level. It makes the probes after an overload.
	reopenStepsPerMilli = 0.5
	// reopenAfterMillis is how old the last answer must be for that.
	reopenAfterMillis = 100
	// full is the open value of a threshold.
	full = float64(level.Full)
)

// Filter decides at one entry which new requests go on. Each answer names the
// service that restricts its chain the most, so that what one route's answers
// tell of a deep service counts for all routes that lead through it. It
// doesn't lock: the node holds a mutex for it.
type Filter struct {
	clock clock.Clock
	// routes holds the services that restricted each route.
	routes   map[string][]string
	services map[string]*known
	below    map[teamService]*known
}

type teamService struct {
	service string
	team    string
}

// known is one learned figure and the time when an answer last told of it.
type known struct {
	value float64
	at    float64
}

// New returns a filter that lets everything pass until answers tell otherwise.
func New(c clock.Clock) *Filter {
	return &Filter{
		clock:    c,
		routes:   map[string][]string{},
		services: map[string]*known{},
		below:    map[teamService]*known{},
	}
}

// Admits decides on a new request of a route. The mark is drawn evenly from 0
// to 1. It returns the share of such requests that pass, for ticket.Passed,
// and whether this one does.
func (f *Filter) Admits(route, team string, r rank.Rank, mark float64) (float64, bool) {
	now := f.clock.Fine()
	steps := full
	for _, s := range f.routes[route] {
		steps = min(steps, f.steps(s, team, now))
	}
	share := level.Level(steps).Share(r)
	return share, mark < share
}

// steps returns the level of the team at the service. Only the threshold itself
// may close the critical rank, not what is known of the team.
func (f *Filter) steps(service, team string, now float64) float64 {
	threshold := f.services[service].current(now, full)
	k, ok := f.below[teamService{service, team}]
	if !ok {
		return threshold
	}
	return max(threshold-k.current(now, 0), min(threshold, level.Steps))
}

// Learn takes what an answer told: the service whose gate has the lowest
// threshold in the chain, that threshold, and the level of the request's team
// there. How far a team stays below the threshold is learned from its own
// answers only. The service doesn't matter when the threshold is Full.
func (f *Filter) Learn(route, team, service string, threshold, teamLevel level.Level) {
	now := f.clock.Fine()
	if min(threshold, teamLevel) < level.Full {
		f.note(route, service, now)
	}
	for _, s := range f.routes[route] {
		f.learn(s, team, s == service, threshold, teamLevel, now)
	}
}

// note remembers that the service restricts the route.
func (f *Filter) note(route, service string, now float64) {
	if _, ok := f.services[service]; !ok {
		f.services[service] = &known{value: full, at: now}
	}
	if !slices.Contains(f.routes[route], service) {
		f.routes[route] = append(f.routes[route], service)
	}
}

// learn moves what is known of one service. The others of the chain are at
// least as open as the named one.
func (f *Filter) learn(service, team string, named bool, threshold, teamLevel level.Level, now float64) {
	k := f.services[service]
	if !named && k.value >= float64(threshold) {
		return
	}
	k.learn(float64(threshold), now, full)
	f.learnBelow(teamService{service, team}, float64(threshold-teamLevel), now)
}

func (f *Filter) learnBelow(key teamService, below, now float64) {
	k, ok := f.below[key]
	if !ok && below <= 0 {
		return
	}
	if !ok {
		k = &known{at: now}
		f.below[key] = k
	}
	k.learn(below, now, 0)
}

// current returns the figure, moved towards its open value by the time without
// answers.
func (k *known) current(now, open float64) float64 {
	silent := now - k.at - reopenAfterMillis
	if silent <= 0 {
		return k.value
	}
	step := silent * reopenStepsPerMilli
	if open > k.value {
		return min(k.value+step, open)
	}
	return max(k.value-step, open)
}

func (k *known) learn(value, now, open float64) {
	from := k.current(now, open)
	k.value = from + (value-from)*learnShare
	k.at = now
}
