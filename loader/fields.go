package loader

import (
	"net/http"
	"slices"
	"strings"

	"bergamotloom.example/keys"
	"bergamotloom.example/rank"
	"bergamotloom.example/route"
	"bergamotloom.example/servc"
	"bergamotloom.example/team"
)

// Largest values that can be meant.
const (
	maxRate           = 10_000_000 // requests a second
	maxSlots          = 100_000
	maxRetries        = 10
	maxDurationMillis = 3_600_000
	maxBodyLimit      = 1 << 40 // bytes
)

const (
	prefixMark     = "/*"
	reservedPrefix = "/loom"
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

var teamFields = []field[team.Team]{
	{"Name", true, func(r *reader, e entry, t *team.Team) { t.Name = r.name(e) }},
	{"Rate", true, func(r *reader, e entry, t *team.Team) { t.Rate = r.rate(e) }},
	{"Burst", true, func(r *reader, e entry, t *team.Team) { t.Burst = r.burst(e) }},
	{"Keys", false, func(r *reader, e entry, t *team.Team) { t.Keys = r.hashes(e) }},
}

var serviceFields = []field[servc.Service]{
	{"Name", true, func(r *reader, e entry, s *servc.Service) { s.Name = r.name(e) }},
	{"Slots", false, func(r *reader, e entry, s *servc.Service) { s.Slots = int(r.integer(e, 1, maxSlots)) }},
	{"SlowStart", false, func(r *reader, e entry, s *servc.Service) { s.SlowStartMillis = r.millis(e, 0) }},
}

var routeFields = []field[route.Route]{
	{"Name", true, func(r *reader, e entry, o *route.Route) { o.Name = r.name(e) }},
	{"Match", true, func(r *reader, e entry, o *route.Route) { o.Match = r.match(e) }},
	{"Methods", false, func(r *reader, e entry, o *route.Route) { o.Methods = r.methods(e) }},
	{"Service", true, func(r *reader, e entry, o *route.Route) { o.Service = r.name(e) }},
	{"Teams", false, func(r *reader, e entry, o *route.Route) { o.Teams = r.teams(e) }},
	{"OpenToAll", false, func(r *reader, e entry, o *route.Route) { o.OpenToAll = r.boolean(e) }},
	{"Idempotent", false, func(r *reader, e entry, o *route.Route) { o.Idempotent = r.boolean(e) }},
	{"Rank", true, func(r *reader, e entry, o *route.Route) { o.Rank = r.rank(e) }},
	{"Timeout", true, func(r *reader, e entry, o *route.Route) { o.TimeoutMillis = r.millis(e, 1) }},
	{"Retries", false, func(r *reader, e entry, o *route.Route) { o.Retries = int(r.integer(e, 0, maxRetries)) }},
	{"BodyLimit", false, func(r *reader, e entry, o *route.Route) { o.BodyLimit = r.bytes(e) }},
}

func (r *reader) name(e entry) string {
	text, ok := r.text(e)
	if ok && !isName(text) {
		r.report(e.place, "%s %q isn't a name: use 1 to 63 letters, digits, '-', '_' or '.'", e.key, text)
	}
	return text
}

func (r *reader) rate(e entry) float64 {
	rate, ok := r.number(e)
	if ok && (rate <= 0 || rate > maxRate) {
		r.report(e.place, "%s must be above 0 and at most %d requests a second", e.key, maxRate)
	}
	return rate
}

func (r *reader) burst(e entry) float64 {
	burst, ok := r.number(e)
	if ok && (burst < 1 || burst > maxRate) {
		r.report(e.place, "%s must be from 1 to %d requests", e.key, maxRate)
	}
	return burst
}

// hashes reads the keys of a team. A value that isn't a hash may be a key that
// was pasted by mistake, so it's never repeated in the problem.
func (r *reader) hashes(e entry) []string {
	all := r.texts(e)
	for _, h := range all {
		if !keys.IsHash(h) {
			r.report(e.places[elementPlace(e.key, h)], "an entry of %s isn't a hash: use the one that `key new` prints, never the key", e.key)
		}
	}
	return all
}

func (r *reader) match(e entry) string {
	match, ok := r.text(e)
	if !ok {
		return match
	}
	stem := strings.TrimSuffix(match, prefixMark)
	switch {
	case !strings.HasPrefix(match, "/"):
		r.report(e.place, "%s %q must begin with '/'", e.key, match)
	case strings.ContainsAny(stem, "*?#% \t\r\n") || strings.Contains(stem, "//"):
		r.report(e.place, "%s %q must be a plain path, with '/*' at its end for a prefix", e.key, match)
	case stem == reservedPrefix || strings.HasPrefix(stem, reservedPrefix+"/"):
		r.report(e.place, "%s %q is under %s, which nodes keep for themselves", e.key, match, reservedPrefix)
	case slices.Contains(strings.Split(stem, "/"), "..") || slices.Contains(strings.Split(stem, "/"), "."):
		r.report(e.place, "%s %q must not hold '.' or '..'", e.key, match)
	}
	return match
}

func (r *reader) methods(e entry) []string {
	all := r.texts(e)
	r.demandSome(e, all)
	for _, m := range all {
		if !slices.Contains(methods, m) {
			r.report(e.places[elementPlace(e.key, m)], "unknown method %q: use %s", m, strings.Join(methods, ", "))
		}
	}
	return all
}

func (r *reader) teams(e entry) []string {
	all := r.texts(e)
	r.demandSome(e, all)
	return all
}

// demandSome refuses an empty list where leaving it out means everything.
func (r *reader) demandSome(e entry, all []string) {
	if len(all) == 0 {
		r.report(e.place, "%s is empty: leave it out to allow all", e.key)
	}
}

func (r *reader) rank(e entry) rank.Rank {
	text, ok := r.text(e)
	if !ok {
		return rank.Critical
	}
	parsed, err := rank.Parse(text)
	if err != nil {
		r.report(e.place, "%v", err)
	}
	return parsed
}
