// Package params holds the settings of a sidecar: its addresses, its data
// centre, its target, the store, and its limits.
package params

import (
	"fmt"
	"net/netip"
	"reflect"

	"github.com/pkg/errors"
)

// maxSpillCostMillis is a cost with which nothing leaves a data centre that has a usable
// target.
const maxSpillCostMillis = 1_000_000

// Params are the settings of one sidecar. They're used by value.
type Params struct {
	// Name identifies the instance in logs.
	Name   string
	Centre string
	// Service is the service of this sidecar's target.
	Service string
	// Callers, Hops, Ready, Control, Peers and Metrics are the addresses to
	// listen on: for callers, for requests from other nodes, for the platform's
	// readiness checks, for the target's heartbeats, for messages between nodes
	// (TCP and UDP), and for metrics.
	Callers string
	Hops    string
	Ready   string
	Control string
	Peers   string
	Metrics string
	// Target is the address of this sidecar's target.
	Target string
	// Store is the address of the platform's store.
	Store string
	// Seeds are addresses of other nodes' control ports, perhaps stale.
	Seeds []string
	// FirstStart is true if the whole fleet starts for the first time.
	FirstStart bool
	// Cores is the number of threads that may run at once.
	Cores int
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxSockets is how many sockets the process may have open, 0 if that isn't
	// known.
	MaxSockets int
	// HeartbeatMillis is the time between two heartbeats of a target.
	HeartbeatMillis int64
	// GraceMillis is the time from the stop signal to the kill.
	GraceMillis int64
	// ApplyMillis is the time within which an accepted configuration must be in force at
	// all nodes.
	ApplyMillis int64
	// EvacuationMillis is the time within which a data centre that is evacuated must get no
	// more requests; 0 if the deployment has no such bound.
	EvacuationMillis int64
	// Centres lists the data centres of the fleet, if the settings name them.
	Centres []string
	// RetryRatio limits the retries at one service, over all nodes, to this
	// fraction of its requests.
	RetryRatio float64
	// LostCentres is how many whole data centres the fleet must tolerate losing; -1 if the
	// setting is malformed, which counts as 0.
	LostCentres int
	// SpillCostMillis is how many milliseconds of latency justify a request to another data
	// centre.
	SpillCostMillis float64
}

// Check returns an error for the first invalid setting, with its value and what
// is allowed.
func (p Params) Check() error {
	addresses := []struct{ name, value string }{
		{"callers' address", p.Callers},
		{"hops' address", p.Hops},
		{"ready address", p.Ready},
		{"control address", p.Control},
		{"peers' address", p.Peers},
		{"metrics address", p.Metrics},
		{"target's address", p.Target},
		{"store's address", p.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Errorf("the %s is %q: it must be an IP number and a port", a.name, a.value)
		}
	}
	switch {
	case p.Service == "":
		return errors.New("the service is empty: it must name the target's service")
	case p.Centre == "":
		return errors.New("the data centre is empty: it must be named")
	case p.GraceMillis <= 0:
		return errors.Errorf("the grace is %d ms: it must be positive", p.GraceMillis)
	case p.ApplyMillis <= 0:
		return errors.Errorf("the time to apply a configuration is %d ms: it must be positive", p.ApplyMillis)
	case p.EvacuationMillis < 0:
		return errors.Errorf("the time of an evacuation is %d ms: it may not be negative", p.EvacuationMillis)
	case p.MaxSockets < 0:
		return errors.Errorf("the max number of sockets is %d: it may not be negative", p.MaxSockets)
	case p.RetryRatio < 0:
		return errors.Errorf("the retry ratio is %v: it may not be negative", p.RetryRatio)
	case !(p.SpillCostMillis >= 0 && p.SpillCostMillis <= maxSpillCostMillis):
		return errors.Errorf("SpillCostMillis is %v: it must be from 0 to %d", p.SpillCostMillis, maxSpillCostMillis)
	}
	return nil
}

// Changes lists the settings that differ in other, with both values.
func (p Params) Changes(other Params) []string {
	var changes []string
	before, after := reflect.ValueOf(p), reflect.ValueOf(other)
	for i := range before.NumField() {
		old, changed := before.Field(i).Interface(), after.Field(i).Interface()
		if !reflect.DeepEqual(old, changed) {
			changes = append(changes, fmt.Sprintf("%s: %v, was %v", before.Type().Field(i).Name, changed, old))
		}
	}
	return changes
}
