package bench

import (
	"math"

	"bergamotloom.example/rank"
)

// size is one deployment: its services in the order in which they call one
// another, its network and its teams.
type size struct {
	name         string
	services     []service
	centres      []string
	hopMillis    float64
	clientMillis float64
	connect      float64
	teams        []team
	paths        []path
}

// service is one service of a deployment. Connections bounds what a server
// takes in without control.
type service struct {
	name        string
	servers     int
	slots       int
	connections int
	workMillis  float64
}

// team has a part of the deployment's rate.
type team struct {
	name string
	part float64
}

// path is a route of the deployment: all lead through all services.
type path struct {
	name       string
	rank       rank.Rank
	part       float64
	idempotent bool
	timeout    float64
}

// ratesPart is the sum of the teams' rates as a part of the capacity, and
// usualPart what they usually send.
const (
	ratesPart = 0.9
	usualPart = 0.7
)

func sizes() []size {
	return []size{prairiePaddle(), estudioLapacho()}
}

func prairiePaddle() size {
	return size{
		name: "paddle",
		services: []service{
			{"web", 6, 80, 700, 20},
			{"booking", 5, 60, 500, 40},
			{"lakes", 4, 50, 400, 40},
			{"ledger", 3, 40, 200, 100},
		},
		centres:      []string{"A", "B", "C"},
		hopMillis:    0.5,
		clientMillis: 3,
		connect:      1,
		teams:        eightTeams(),
		paths: []path{
			{"reserve", rank.Critical, 0.05, false, 1000},
			{"search", rank.Normal, 0.35, true, 1000},
			{"guides", rank.Sheddable, 0.60, true, 1000},
		},
	}
}

func estudioLapacho() size {
	return size{
		name: "lapacho",
		services: []service{
			{"shop", 6, 250, 2300, 60},
			{"orders", 5, 150, 1500, 40},
			{"stock", 4, 150, 1200, 100},
			{"supply", 3, 100, 400, 150},
		},
		centres:      []string{"A", "B", "C"},
		hopMillis:    1,
		clientMillis: 3,
		connect:      1,
		teams:        eightTeams(),
		paths: []path{
			{"check", rank.Critical, 0.05, true, 1500},
			{"browse", rank.Normal, 0.35, true, 1500},
			{"sheets", rank.Sheddable, 0.60, true, 1500},
		},
	}
}

// eightTeams returns eight teams, a few of them large.
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

// capacity returns how many requests a second the deployment can serve with so
// many servers of each service, when the deepest service works at the given
// part of its speed.
func (s size) capacity(servers []int, speed float64) float64 {
	lowest, hold := math.Inf(1), 0.0
	for i := len(s.services) - 1; i >= 0; i-- {
		v := s.services[i]
		if i == len(s.services)-1 {
			hold = v.workMillis / speed
		} else {
			hold += v.workMillis + 2*s.hopMillis
		}
		lowest = min(lowest, float64(servers[i]*v.slots)/hold*millisPerSecond)
	}
	return lowest
}

// usual returns the capacity with all servers at full speed.
func (s size) usual() float64 {
	var servers []int
	for _, v := range s.services {
		servers = append(servers, v.servers)
	}
	return s.capacity(servers, 1)
}

// rate returns the team's rate in requests a second.
func (s size) rate(t int) float64 {
	return s.teams[t].part * ratesPart * s.usual()
}
