package node

import (
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/member"
)

// announcement is the heartbeat that a target sends.
type announcement struct {
	Service string
	Address string
	Slots   int
}

// localHandler serves requests of the node's target.
func (n *Node) localHandler() http.Handler {
	e := newEcho()
	e.POST("/loom/announce", n.announce)
	e.POST("/loom/leave", n.leave)
	e.RouteNotFound("/*", echo.WrapHandler(n.entry.TargetHandler()))
	return e
}

// announce processes the target's heartbeat.
func (n *Node) announce(c echo.Context) error {
	var a announcement
	if err := c.Bind(&a); err != nil || a.Service == "" || a.Address == "" || a.Slots <= 0 {
		return c.JSON(http.StatusBadRequest, echo.Map{
			"Error": "node: an announcement needs Service, Address and a positive number of Slots",
		})
	}
	isNew, changed := n.target.RecordHeartbeat(a.Service, a.Address, a.Slots)
	switch {
	case isNew:
		n.log.Info("node: a new target sent its first heartbeat", "Service", a.Service, "Slots", a.Slots)
		n.gate.SetTarget(a.Slots)
		n.publishTarget()
	case changed:
		n.gate.SetSlots(a.Slots)
		n.publishTarget()
	}
	return c.NoContent(http.StatusNoContent)
}

// publishTarget notifies the peers that the target accepts requests, with its
// service and slots.
func (n *Node) publishTarget() {
	service, slots := n.target.Service()
	n.gossip.Update(func(m member.Member) member.Member { return m.WithTarget(service, slots) })
}

// leave processes the target's notice that it leaves.
func (n *Node) leave(c echo.Context) error {
	n.beginLeaving()
	return c.NoContent(http.StatusNoContent)
}

// operatorsHandler serves the operators' requests.
func (n *Node) operatorsHandler() http.Handler {
	e := newEcho()
	e.GET("/loom/health", n.health)
	e.GET("/loom/state", n.state)
	e.GET("/loom/metrics", n.metrics)
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/:kind", servePprof)
	return e
}

// servePprof serves one of the runtime's profiles, such as heap or goroutine.
func servePprof(c echo.Context) error {
	pprof.Handler(c.Param("kind")).ServeHTTP(c.Response(), c.Request())
	return nil
}

// health responds with 200 if the node serves requests, else with 503 and the
// reason.
func (n *Node) health(c echo.Context) error {
	if _, ok := n.spread.InForce(); !ok {
		return c.String(http.StatusServiceUnavailable, "no configuration in force\n")
	}
	if n.leaving.Load() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	return c.String(http.StatusOK, "serving\n")
}

// state serves the node's view of itself and the fleet, for operators and for
// the command `show`.
func (n *Node) state(c echo.Context) error {
	current, inForce := n.spread.InForce()
	running, waiting, limit := n.gate.Load()
	service, slots := n.target.Service()
	owners := make(map[string]string)
	for _, t := range current.Teams() {
		owners[t.Name], _ = n.quota.Owner(t.Name)
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
		service, n.target.Alive(), slots, running, waiting, limit, owners, n.gossip.Members(),
	}, "  ")
}

// metrics serves all metrics as JSON.
func (n *Node) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	metrics.WriteJSONOnce(n.registry, c.Response())
	return nil
}
