// Package layout describes which processes make up a small fleet.
package layout

// Layout describes a fleet. It's a value: the With methods return changed
// copies.
type Layout struct {
	// Region is the region of all data centres, Centres are their names.
	Region  string
	Centres []string
	// Services are the services, each with instances in every data centre.
	Services []service
	// NodeArgs are additional flags of all nodes.
	NodeArgs []string
	// Secret is the fleet's secret, of at least 32 bytes.
	Secret string
	// Relayed puts a relay in front of each peer port and each target.
	Relayed bool
}

// service is one service of the layout.
type service struct {
	Name string
	// InstancesPerCentre is how many instances run in each data centre.
	InstancesPerCentre int
	// TargetArgs are additional flags of its stand-in targets.
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

// WithRelays returns the layout with relays in front of peer ports and targets.
func (l Layout) WithRelays() Layout {
	l.Relayed = true
	return l
}

// WithNodeArgs returns the layout with additional flags of all nodes.
func (l Layout) WithNodeArgs(args ...string) Layout {
	l.NodeArgs = args
	return l
}
