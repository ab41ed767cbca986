package node

import (
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/member"
)

// announcement is what a target says of itself.
type announcement struct {
	Service string
	Address string
	Slots   int
}

// localHandler serves the node's own target.
func (n *Node) localHandler() http.Handler {
	e := newEcho()
	e.POST("/loom/announce", n.announce)
	e.POST("/loom/leave", n.leave)
	e.RouteNotFound("/*", echo.WrapHandler(n.entry.TargetHandler()))
	return e
}

// announce takes the target's heartbeat.
func (n *Node) announce(c echo.Context) error {
	var a announcement
	if err := c.Bind(&a); err != nil || a.Service == "" || a.Address == "" || a.Slots <= 0 {
		return c.JSON(http.StatusBadRequest, echo.Map{
			"Error": "node: an announcement needs Service, Address and a positive number of Slots",
		})
	}
	fresh, changed := n.target.RecordHeartbeat(a.Service, a.Address, a.Slots)
	switch {
	case fresh:
		n.log.Info("node: a target announced itself", "Service", a.Service, "Slots", a.Slots)
		n.gate.SetTarget(a.Slots)
		n.tellReady()
	case changed:
		n.gate.SetSlots(a.Slots)
		n.tellReady()
	}
	return c.NoContent(http.StatusNoContent)
}

// tellReady tells the peers that the target takes work.
func (n *Node) tellReady() {
	service, slots := n.target.Service()
	n.gossip.Update(func(m member.Member) member.Member { return m.WithTarget(service, slots) })
}

// leave takes the target's notice that it goes.
func (n *Node) leave(c echo.Context) error {
	n.beginLeaving()
	return c.NoContent(http.StatusNoContent)
}

// operatorsHandler serves those who run the fleet.
func (n *Node) operatorsHandler() http.Handler {
	e := newEcho()
	e.GET("/loom/health", n.health)
	e.GET("/loom/state", n.state)
	e.GET("/loom/metrics", n.metrics)
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/:kind", servePprof)
	return e
}

// servePprof gives one of the runtime's profiles, as heap or goroutine.
func servePprof(c echo.Context) error {
	pprof.Handler(c.Param("kind")).ServeHTTP(c.Response(), c.Request())
	return nil
}

// health answers 200 when the node serves, and 503 with the reason otherwise.
func (n *Node) health(c echo.Context) error {
	if _, ok := n.spread.InForce(); !ok {
		return c.String(http.StatusServiceUnavailable, "no configuration in force\n")
	}
	if n.leaving.Load() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	return c.String(http.StatusOK, "serving\n")
}

// state tells what the node knows, for people and for `show`.
func (n *Node) state(c echo.Context) error {
	current, inForce := n.spread.InForce()
	running, waiting, limit := n.gate.Load()
	service, slots := n.target.Service()
	homes := make(map[string]string)
	for _, t := range current.Teams() {
		homes[t.Name], _ = n.quota.Owner(t.Name)
	}
	return c.JSONPretty(http.StatusOK, struct {
		Self       member.Member
		Version    int64
		InForce    bool
		Settled    bool
		Leaving    bool
		Service    string
		TargetUp   bool
		Slots      int
		Running    int
		Waiting    int
		Limit      int
		RateHomes  map[string]string
		MemberList []member.Member
	}{
		n.gossip.Self(), current.Version(), inForce, n.gossip.Synced(), n.leaving.Load(),
		service, n.target.Alive(), slots, running, waiting, limit, homes, n.gossip.Members(),
	}, "  ")
}

// metrics writes all counters and timers.
func (n *Node) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	metrics.WriteJSONOnce(n.registry, c.Response())
	return nil
}
