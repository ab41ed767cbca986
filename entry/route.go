package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// matchRoute finds the request's route in the configuration in force.
func matchRoute(e *Entry, x *exchange) (refuse.Refusal, bool) {
	c, ok := e.currentConfig()
	if !ok {
		return refuseWith(reason.NotInForce)
	}
	r, ok := c.Route(x.request.URL.Path)
	if !ok {
		return refuseWith(reason.UnknownRoute)
	}
	if !r.TakesMethod(x.request.Method) {
		return refuseWith(reason.MethodNotAllowed)
	}
	x.config, x.route = c, r
	return proceed()
}
