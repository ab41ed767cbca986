// Package differ compares two versions of the configuration by entries and fields.
package differ

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bergamotloom.example/config"
	"bergamotloom.example/keys"
	"bergamotloom.example/route"
	"bergamotloom.example/servc"
	"bergamotloom.example/team"
)

const unset = "none"

// sizeUnits are the units in which sizes are shown, largest first.
var sizeUnits = []struct {
	bytes  int64
	suffix string
}{
	{1 << 30, "GiB"},
	{1 << 20, "MiB"},
	{1 << 10, "KiB"},
}

// field is one field of the entries of an area, with its value as text.
type field[T any] struct {
	name string
	text func(T) string
}

// Keys are compared one by one, as a list of hashes is too long for a line.
var teamFields = []field[team.Team]{
	{"Rate", func(t team.Team) string { return number(t.Rate) }},
	{"Burst", func(t team.Team) string { return number(t.Burst) }},
}

var serviceFields = []field[servc.Service]{
	{"Slots", func(s servc.Service) string { return orUnset(s.Slots > 0, strconv.Itoa(s.Slots)) }},
	{"SlowStart", func(s servc.Service) string { return orUnset(s.SlowStartMillis > 0, duration(s.SlowStartMillis)) }},
}

var routeFields = []field[route.Route]{
	{"Match", func(r route.Route) string { return r.Match }},
	{"Methods", func(r route.Route) string { return listOrAll(r.Methods) }},
	{"Service", func(r route.Route) string { return r.Service }},
	{"Teams", func(r route.Route) string { return listOrAll(r.Teams) }},
	{"OpenToAll", func(r route.Route) string { return strconv.FormatBool(r.OpenToAll) }},
	{"Idempotent", func(r route.Route) string { return strconv.FormatBool(r.Idempotent) }},
	{"Rank", func(r route.Route) string { return r.Rank.String() }},
	{"Timeout", func(r route.Route) string { return duration(r.TimeoutMillis) }},
	{"Retries", func(r route.Route) string { return strconv.Itoa(r.Retries) }},
	{"BodyLimit", func(r route.Route) string { return orUnset(r.BodyLimit > 0, size(r.BodyLimit)) }},
}

// Differ compares a version of the configuration with an earlier one.
type Differ struct {
	before *config.Config
	after  *config.Config
}

// New returns a comparison of the version before with the one after.
func New(before, after *config.Config) Differ {
	return Differ{before: before, after: after}
}

// Lines returns one sorted line for each entry that was added or removed, and for each
// changed field of the others. It's empty if nodes would do the same with both versions.
// Hashes of keys are shortened.
func (d Differ) Lines() []string {
	teamName := func(t team.Team) string { return t.Name }
	serviceName := func(s servc.Service) string { return s.Name }
	routeName := func(r route.Route) string { return r.Name }
	lines := compare("team", teamName, teamFields, d.before.Teams(), d.after.Teams())
	lines = append(lines, d.keyLines()...)
	lines = append(lines, compare("service", serviceName, serviceFields, d.before.Services(), d.after.Services())...)
	lines = append(lines, compare("route", routeName, routeFields, d.before.Routes(), d.after.Routes())...)
	slices.Sort(lines)
	return lines
}

// compare returns the lines of one area.
func compare[T any](kind string, nameOf func(T) string, fields []field[T], before, after []T) []string {
	var lines []string
	old := make(map[string]T, len(before))
	for _, e := range before {
		old[nameOf(e)] = e
	}
	for _, e := range after {
		name := nameOf(e)
		previous, ok := old[name]
		if !ok {
			lines = append(lines, fmt.Sprintf("added: %s %s", kind, name))
			continue
		}
		delete(old, name)
		for _, f := range fields {
			if from, to := f.text(previous), f.text(e); from != to {
				lines = append(lines, fmt.Sprintf("changed: %s %s: %s %s -> %s", kind, name, f.name, from, to))
			}
		}
	}
	for name := range maps.Keys(old) {
		lines = append(lines, fmt.Sprintf("removed: %s %s", kind, name))
	}
	return lines
}

// keyLines returns the lines for the keys of the teams that are in both versions.
func (d Differ) keyLines() []string {
	var lines []string
	for _, t := range d.after.Teams() {
		previous, ok := d.before.Team(t.Name)
		if !ok {
			continue
		}
		for _, k := range without(t.Keys, previous.Keys) {
			lines = append(lines, fmt.Sprintf("changed: team %s: Keys added %s", t.Name, keys.Short(k)))
		}
		for _, k := range without(previous.Keys, t.Keys) {
			lines = append(lines, fmt.Sprintf("changed: team %s: Keys removed %s", t.Name, keys.Short(k)))
		}
	}
	return lines
}

// without returns the elements of all that aren't in others.
func without(all, others []string) []string {
	return slices.DeleteFunc(slices.Clone(all), func(e string) bool { return slices.Contains(others, e) })
}

// listOrAll joins a list in sorted order, as the order has no meaning. An empty list
// allows all.
func listOrAll(all []string) string {
	if len(all) == 0 {
		return "all"
	}
	return strings.Join(slices.Sorted(slices.Values(all)), ",")
}

func orUnset(isSet bool, text string) string {
	if !isSet {
		return unset
	}
	return text
}

// number returns a number without an exponent, as the files have it.
func number(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func duration(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).String()
}

// size returns a size in the largest unit in which it's a whole number.
func size(bytes int64) string {
	for _, u := range sizeUnits {
		if bytes%u.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/u.bytes, u.suffix)
		}
	}
	return strconv.FormatInt(bytes, 10)
}
