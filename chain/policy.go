package chain

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/sched"
)

// policy is one way to control, by its name.
type policy struct {
	name string
	help string
	// gates bounds what runs at a target, and lets the rest wait or refuses it.
	gates bool
	// admits makes what refuses requests at a node's entry.
	admits func(n *node) admission
	// order is in how many milliseconds a request should begin, of the time to
	// its objective; nil for the order in which requests come to the gate.
	order func(goalMillis float64, g grade.Grade) float64
}

func controls() []policy {
	return []policy{
		{name: "none", help: "no control: a random instance, and the targets' own queues", admits: newEveryone},
		{name: "gates", help: "gates that bound what runs, in the order of arrival", gates: true, admits: newEveryone},
		{name: "screen", help: "gates in the order of arrival, whose thresholds go back to the entries", gates: true, admits: newThresholds},
		{name: "before", help: "thresholds, and the order of the callers' objectives", gates: true, admits: newThresholds, order: sched.StartMillisByObjective},
		{name: "shares", help: "the order of this version, with equal shares of each service's slot time handed out to the entries", gates: true, admits: newShares, order: sched.StartMillis},
		{name: "prices", help: "the order of this version, with a price for slot time that rises with the line", gates: true, admits: newPrices, order: sched.StartMillis},
		{name: "loom", help: "this version: thresholds, and those that have missed their objective go last", gates: true, admits: newThresholds, order: sched.StartMillis},
	}
}
