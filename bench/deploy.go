package bench

import (
	"math"

	"bergamotloom.example/rank"
)

// deployment is a deployment of services, listed in the order in which they call
// one another, with its network delays, teams and routes.
type deployment struct {
	name              string
	services          []service
	centres           []string
	hopDelayMillis    float64
	clientDelayMillis float64
	connect           float64
	teams             []team
	routes            []route
}

// service is one service of a deployment. Connections bounds the requests that
// one of its servers runs at once without control.
type service struct {
	name        string
	servers     int
	slots       int
	connections int
	workMillis  float64
}

// team is a team with its fraction of the rates and of the demand.
type team struct {
	name     string
	fraction float64
}

// route is a route of the deployment. Every route passes through all services.
type route struct {
	name          string
	rank          rank.Rank
	fraction      float64
	idempotent    bool
	timeoutMillis float64
}

// ratesFraction is the sum of the teams' rates as a fraction of the capacity,
// usualFraction their usual demand.
const (
	ratesFraction = 0.9
	usualFraction = 0.7
)

func deployments() []deployment {
	return []deployment{prairiePaddle(), estudioLapacho()}
}

// prairiePaddle returns the deployment of a booking system, whose critical route
// isn't idempotent.
func prairiePaddle() deployment {
	return deployment{
		name: "paddle",
		services: []service{
			{"web", 6, 80, 700, 20},
			{"booking", 5, 60, 500, 40},
			{"lakes", 4, 50, 400, 40},
			{"ledger", 3, 40, 200, 100},
		},
		centres:           []string{"A", "B", "C"},
		hopDelayMillis:    0.5,
		clientDelayMillis: 3,
		connect:           1,
		teams:             eightTeams(),
		routes: []route{
			{"reserve", rank.Critical, 0.05, false, 1000},
			{"search", rank.Normal, 0.35, true, 1000},
			{"guides", rank.Sheddable, 0.60, true, 1000},
		},
	}
}

// estudioLapacho returns the deployment of a shop, all of whose routes are
// idempotent.
func estudioLapacho() deployment {
	return deployment{
		name: "lapacho",
		services: []service{
			{"shop", 6, 250, 2300, 60},
			{"orders", 5, 150, 1500, 40},
			{"stock", 4, 150, 1200, 100},
			{"supply", 3, 100, 400, 150},
		},
		centres:           []string{"A", "B", "C"},
		hopDelayMillis:    1,
		clientDelayMillis: 3,
		connect:           1,
		teams:             eightTeams(),
		routes: []route{
			{"check", rank.Critical, 0.05, true, 1500},
			{"browse", rank.Normal, 0.35, true, 1500},
			{"sheets", rank.Sheddable, 0.60, true, 1500},
		},
	}
}

// eightTeams returns eight teams; a few of them have most of the demand.
func eightTeams() []team {
	return []team{
		{"t1", 0.30},
		{"t2", 0.20},
		{"t3", 0.15},
		{"t4", 0.10},
		{"t5", 0.10},
		{"t6", 0.05},
		{"t7", 0.05},
		{"t8", 0.05},
	}
}

// capacity returns the requests a second that the deployment can serve with so
// many servers of each service, when the deepest service runs at the given
// fraction of its speed.
func (z deployment) capacity(servers []int, speed float64) float64 {
	// holdMillis is how long a request holds a slot of the service, which includes
	// its child calls.
	minPerSecond, holdMillis := math.Inf(1), 0.0
	for i := len(z.services) - 1; i >= 0; i-- {
		v := z.services[i]
		if i == len(z.services)-1 {
			holdMillis = v.workMillis / speed
		} else {
			holdMillis += v.workMillis + 2*z.hopDelayMillis
		}
		minPerSecond = min(minPerSecond, float64(servers[i]*v.slots)/holdMillis*millisPerSecond)
	}
	return minPerSecond
}

// fullCapacity returns the capacity with all servers at full speed, in requests
// a second.
func (z deployment) fullCapacity() float64 {
	var servers []int
	for _, v := range z.services {
		servers = append(servers, v.servers)
	}
	return z.capacity(servers, 1)
}

// rate returns the team's rate in requests a second.
func (z deployment) rate(t int) float64 {
	return z.teams[t].fraction * ratesFraction * z.fullCapacity()
}
