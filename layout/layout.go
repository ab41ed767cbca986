// Package layout says which processes make up a small fleet.
package layout

// Layout is the plan of a fleet. It's a value: the With methods return changed
// copies.
type Layout struct {
	// Region is the region of all centres, Centres are the data centres.
	Region  string
	Centres []string
	// Services are the services, in each centre with so many instances.
	Services []service
	// NodeArgs are further flags of all nodes, Secret is the fleet's secret.
	NodeArgs []string
	Secret   string
	// Relayed puts a relay before each peer port and each target.
	Relayed bool
}

// service is one service of the layout.
type service struct {
	Name      string
	PerCentre int
	// TargetArgs are further flags of its stand-in targets.
	TargetArgs []string
}

// New returns a layout with these data centres and no services.
func New(centres ...string) Layout {
	return Layout{Region: "lakes", Centres: centres, Secret: "a-secret-for-tests-only-0123456789"}
}

// WithService returns the layout with one more service.
func (l Layout) WithService(name string, perCentre int, targetArgs ...string) Layout {
	services := make([]service, 0, len(l.Services)+1)
	l.Services = append(append(services, l.Services...), service{name, perCentre, targetArgs})
	return l
}

// WithRelays returns the layout with relays before peer ports and targets.
func (l Layout) WithRelays() Layout {
	l.Relayed = true
	return l
}

// WithNodeArgs returns the layout with further flags of all nodes.
func (l Layout) WithNodeArgs(args ...string) Layout {
	l.NodeArgs = args
	return l
}
