package chain

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/sched"
)

// policy is a named combination of overload control mechanisms.
type policy struct {
	name string
	help string
	// gates says that gates bound the running requests of a target, and queue or
	// refuse the rest.
	gates bool
	// newAdmission returns the admission of a node's entry.
	newAdmission func(n *node) admission
	// startDelayMillis returns in how many milliseconds a request should start,
	// given the time left to its objective. If it's nil, requests start in the
	// order of their arrival at the gate.
	startDelayMillis func(objectiveMillis float64, g grade.Grade) float64
}

func controls() []policy {
	return []policy{
		{name: "none", help: "no control: a random instance, and the targets' own queues", newAdmission: newAdmitAll},
		{name: "gates", help: "gates that bound what runs, in the order of arrival", gates: true, newAdmission: newAdmitAll},
		{name: "screen", help: "gates in the order of arrival, whose thresholds go back to the entries", gates: true, newAdmission: newThresholds},
		{name: "before", help: "thresholds, and the order of the callers' objectives", gates: true, newAdmission: newThresholds, startDelayMillis: sched.StartMillisByObjective},
		{name: "shares", help: "the order of this version, with equal shares of each service's slot time handed out to the entries", gates: true, newAdmission: newEqualShares, startDelayMillis: sched.StartMillis},
		{name: "prices", help: "the order of this version, with a price for slot time that rises with the line", gates: true, newAdmission: newPrices, startDelayMillis: sched.StartMillis},
		{name: "loom", help: "this version: thresholds, and those that have missed their objective go last", gates: true, newAdmission: newThresholds, startDelayMillis: sched.StartMillis},
	}
}
