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
	// reopenAfterMillis is how old the last answer must be for that.
	reopenAfterMillis = 100
	// full is the open value of a route's threshold.
	full = float64(level.Full)
)

// Filter decides at one entry which new requests go on. It doesn't lock: the
// node holds a mutex for it.
type Filter struct {
	clock  clock.Clock
	routes map[string]*known
	below  map[teamRoute]*known
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
		below:  map[teamRoute]*known{},
	}
}

// Passes decides on a new request of a route. The mark is drawn evenly from 0
// to 1. It returns the share of such requests that pass, for ticket.Passed,
// and whether this one does.
func (f *Filter) Passes(route, team string, r rank.Rank, mark float64) (float64, bool) {
	now := f.clock.Fine()
	steps := f.routeLevel(route, now) - f.teamBelow(teamRoute{route, team}, now)
	share := level.Level(steps).Share(r)
	return share, mark < share
}

// Learn takes what an answer told: the lowest threshold in its chain, and the
// level of the request's team that goes with it. The threshold is shared by
// all teams; how far a team stays below it is learned from its own answers.
func (f *Filter) Learn(route, team string, threshold, teamLevel level.Level) {
	now := f.clock.Fine()
	if k := entry(f.routes, route, threshold < level.Full, full, now); k != nil {
		k.learn(float64(threshold), now, full)
	}
	below := float64(threshold - teamLevel)
	if k := entry(f.below, teamRoute{route, team}, below > 0, 0, now); k != nil {
		k.learn(below, now, 0)
	}
}

// entry returns what is known under the key. It makes a new entry, which
// stands at the open value, only when there's something to know.
func entry[K comparable](all map[K]*known, key K, needed bool, open, now float64) *known {
	k, ok := all[key]
	if !ok && needed {
		k = &known{value: open, at: now}
		all[key] = k
	}
	return k
}

func (f *Filter) routeLevel(route string, now float64) float64 {
	k, ok := f.routes[route]
	if !ok {
		return full
	}
	return k.current(now, full)
}

func (f *Filter) teamBelow(key teamRoute, now float64) float64 {
	k, ok := f.below[key]
	if !ok {
		return 0
	}
	return k.current(now, 0)
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
