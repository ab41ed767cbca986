package entry

import (
	"context"

	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// findParent finds the request that the target is working on by its call token,
// and charges the call to the same team. Without a token, a target can only
// call routes that are open to all.
func findParent(e *Entry, x *exchange) (refuse.Refusal, bool) {
	token := x.request.Header.Get(header.Call)
	if token == "" && x.route.OpenToAll {
		return proceed()
	}
	parent, ok := e.calls.Find(token)
	if !ok {
		return refuseWith(reason.TokenMissing)
	}
	if parentTeam, ok := x.config.Team(parent.Envelope.Team); ok {
		x.team = parentTeam
	}
	x.parent = parent
	// The call ends when its parent request ends.
	ctx, cancel := context.WithCancel(x.context)
	context.AfterFunc(parent.Context(), cancel)
	x.context = ctx
	return proceed()
}
