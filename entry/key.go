package entry

import (
	"strings"

	"bergamotloom.example/header"
	"bergamotloom.example/keys"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/team"
)

// checkKey finds the team that the request's key belongs to. The key is looked
// up for every request, so that a withdrawn key stops working on open
// connections too. It isn't passed on beyond this stage.
func checkKey(_ *Entry, x *exchange) (refuse.Refusal, bool) {
	key, ok := header.Key(x.request.Header)
	if ok && keyLeaks(x, key) {
		return refuse.New(reason.BadRequest).WithDetail("The key stands outside the Authorization header."), true
	}
	callerTeam := team.Team{}
	if ok {
		callerTeam, ok = x.config.TeamOfKey(keys.Hash(key))
	}
	if x.route.OpenToAll {
		x.team = callerTeam
		return proceed()
	}
	switch {
	case key == "":
		return refuseWith(reason.KeyMissing)
	case !ok:
		return refuseWith(reason.KeyUnknown)
	case !x.route.AllowsTeam(callerTeam.Name):
		return refuseWith(reason.TeamNotAllowed)
	}
	x.team = callerTeam
	return proceed()
}

// keyLeaks reports whether the key would reach the target outside of the
// Authorization header, which is dropped.
func keyLeaks(x *exchange, key string) bool {
	return strings.Contains(x.request.RequestURI, key) || header.ContainsSecret(x.request.Header, key)
}
