package chain

// policy is one way to control, by its name.
type policy struct {
	name string
	help string
	// gates bounds what runs at a target, and lets the rest wait or refuses it.
	gates bool
	// screen refuses at the entry what a service behind it couldn't take.
	screen bool
	// chains lets calls go by the objective of the caller's request, in place
	// of the order in which they come to the gate.
	chains bool
}

func controls() []policy {
	return []policy{
		{name: "none", help: "no control: a random instance, and the targets' own queues"},
		{name: "gates", help: "gates that bound what runs, in the order of arrival", gates: true},
		{name: "screen", help: "gates in the order of arrival, whose thresholds go back to the entries", gates: true, screen: true},
		{name: "loom", help: "this version: thresholds, and the order of the callers' objectives", gates: true, screen: true, chains: true},
	}
}
