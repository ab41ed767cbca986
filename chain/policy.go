package chain

import (
	"bergamotloom.example/grade"
	"bergamotloom.example/turn"
)

// policy is one way to control, by its name.
type policy struct {
	name string
	help string
	// gates bounds what runs at a target, and lets the rest wait or refuses it.
	gates bool
	// screen refuses at the entry what a service behind it couldn't take.
	screen bool
	// order is in how many milliseconds a request should begin, of the time to
	// its objective; nil for the order in which requests come to the gate.
	order func(goalMillis float64, g grade.Grade) float64
}

func controls() []policy {
	return []policy{
		{name: "none", help: "no control: a random instance, and the targets' own queues"},
		{name: "gates", help: "gates that bound what runs, in the order of arrival", gates: true},
		{name: "screen", help: "gates in the order of arrival, whose thresholds go back to the entries", gates: true, screen: true},
		{name: "before", help: "thresholds, and the order of the callers' objectives", gates: true, screen: true, order: turn.ByObjective},
		{name: "loom", help: "this version: the same, but those that have missed their objective go last", gates: true, screen: true, order: turn.Millis},
	}
}
