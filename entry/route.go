package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// matchRoute finds the route by the configuration in force.
func matchRoute(e *Entry, k *work) (refuse.Refusal, bool) {
	c, ok := e.config()
	if !ok {
		return stop(reason.NotInForce)
	}
	r, ok := c.Route(k.in.URL.Path)
	if !ok {
		return stop(reason.UnknownRoute)
	}
	if !r.TakesMethod(k.in.Method) {
		return stop(reason.MethodNotAllowed)
	}
	k.config, k.route = c, r
	return pass()
}
