package entry

import (
	"context"

	"bergamotloom.example/header"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// findParent finds the request that the target works for by its call token,
// and charges the call to the same team. Without one only routes open to all
// can be called.
func findParent(e *Entry, k *work) (refuse.Refusal, bool) {
	token := k.in.Header.Get(header.Call)
	if token == "" && k.route.OpenToAll {
		return pass()
	}
	parent, ok := e.calls.Find(token)
	if !ok {
		return stop(reason.TokenMissing)
	}
	if found, ok := k.config.Team(parent.Envelope.Team); ok {
		k.team = found
	}
	k.parent = parent
	// The call ends when the request ends that it's made for.
	ctx, cancel := context.WithCancel(k.context)
	context.AfterFunc(parent.Context(), cancel)
	k.context = ctx
	return pass()
}
