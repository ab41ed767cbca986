package entry

import (
	"strings"

	"bergamotloom.example/header"
	"bergamotloom.example/keys"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/team"
)

// checkKey finds the team whose key came with the request. The key is looked
// up for each request anew, so a withdrawn one stops working on connections
// that are already open. It goes no further than this stage.
func checkKey(_ *Entry, k *work) (refuse.Refusal, bool) {
	key, ok := header.Key(k.in.Header)
	if ok && leaks(k, key) {
		return refuse.New(reason.BadRequest).WithDetail("The key stands outside the Authorization header."), true
	}
	found := team.Team{}
	if ok {
		found, ok = k.config.TeamOfKey(keys.Hash(key))
	}
	if k.route.OpenToAll {
		k.team = found
		return pass()
	}
	switch {
	case key == "":
		return stop(reason.KeyMissing)
	case !ok:
		return stop(reason.KeyUnknown)
	case !k.route.AllowsTeam(found.Name):
		return stop(reason.TeamNotAllowed)
	}
	k.team = found
	return pass()
}

// leaks tells whether the key would reach the target by another way than the
// header that's dropped.
func leaks(k *work, key string) bool {
	return strings.Contains(k.in.RequestURI, key) || header.Holds(k.in.Header, key)
}
