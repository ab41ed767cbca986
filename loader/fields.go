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

// Upper limits of plausible values.
const (
	// maxRatePerSecond also limits the burst, in requests.
	maxRatePerSecond  = 10_000_000
	maxSlots          = 100_000
	maxRetries        = 10
	maxDurationMillis = 3_600_000
	maxBodyLimitBytes = 1 << 40
)

const (
	wildcardSuffix = "/*"
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
	if ok && (rate <= 0 || rate > maxRatePerSecond) {
		r.report(e.place, "%s must be above 0 and at most %d requests a second", e.key, maxRatePerSecond)
	}
	return rate
}

func (r *reader) burst(e entry) float64 {
	burst, ok := r.number(e)
	if ok && (burst < 1 || burst > maxRatePerSecond) {
		r.report(e.place, "%s must be from 1 to %d requests", e.key, maxRatePerSecond)
	}
	return burst
}

// hashes reads the hashes of a team's API keys. A value that isn't a hash may
// be a key that was pasted by mistake, so no diagnostic contains it.
func (r *reader) hashes(e entry) []string {
	values := r.texts(e)
	for _, h := range values {
		if !keys.IsHash(h) {
			r.report(e.places[elementKey(e.key, h)], "an entry of %s isn't a hash: use the one that `key new` prints, never the key", e.key)
		}
	}
	return values
}

func (r *reader) match(e entry) string {
	match, ok := r.text(e)
	if !ok {
		return match
	}
	path := strings.TrimSuffix(match, wildcardSuffix)
	switch {
	case !strings.HasPrefix(match, "/"):
		r.report(e.place, "%s %q must begin with '/'", e.key, match)
	case strings.ContainsAny(path, "*?#% \t\r\n") || strings.Contains(path, "//"):
		r.report(e.place, "%s %q must be a plain path, with '/*' at its end for a prefix", e.key, match)
	case path == reservedPrefix || strings.HasPrefix(path, reservedPrefix+"/"):
		r.report(e.place, "%s %q is under %s, which nodes keep for themselves", e.key, match, reservedPrefix)
	case slices.Contains(strings.Split(path, "/"), "..") || slices.Contains(strings.Split(path, "/"), "."):
		r.report(e.place, "%s %q must not hold '.' or '..'", e.key, match)
	}
	return match
}

func (r *reader) methods(e entry) []string {
	values := r.texts(e)
	r.requireElements(e, values)
	for _, m := range values {
		if !slices.Contains(methods, m) {
			r.report(e.places[elementKey(e.key, m)], "unknown method %q: use %s", m, strings.Join(methods, ", "))
		}
	}
	return values
}

func (r *reader) teams(e entry) []string {
	values := r.texts(e)
	r.requireElements(e, values)
	return values
}

// requireElements reports an empty list, as an omitted list allows everything.
func (r *reader) requireElements(e entry, values []string) {
	if len(values) == 0 {
		r.report(e.place, "%s is empty: leave it out to allow all", e.key)
	}
}

func (r *reader) rank(e entry) rank.Rank {
	text, ok := r.text(e)
	if !ok {
		// The value isn't used, as the problem is reported.
		return rank.Critical
	}
	parsed, err := rank.Parse(text)
	if err != nil {
		r.report(e.place, "%v", err)
	}
	return parsed
}
