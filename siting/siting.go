// Package siting holds what a sidecar is told about its place: its addresses,
// its data centre, the target beside it, the store, and the bounds to keep.
package siting

import (
	"fmt"
	"net/netip"
	"reflect"

	"github.com/pkg/errors"
)

// Siting is the settings of one sidecar. It's a value.
type Siting struct {
	// Name identifies the instance in logs.
	Name   string
	Centre string
	// Service is the service of the target beside this process.
	Service string
	// Callers, Hops, Ready, Control, Peers and Metrics are the addresses to
	// listen on: for callers, for requests from other nodes, for the platform's
	// readiness checks, for the target's heartbeats, for what nodes tell one
	// another (TCP and UDP), and for metrics.
	Callers string
	Hops    string
	Ready   string
	Control string
	Peers   string
	Metrics string
	// Target is the address of the target beside this process.
	Target string
	// Store is the address of the platform's store.
	Store string
	// Seeds are addresses of other nodes' control ports, perhaps stale.
	Seeds []string
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
	// Cores is the number of threads that may run at once.
	Cores int
	// MemoryBytes is the most that the process may use.
	MemoryBytes int64
	// HeartbeatMillis is the time between two heartbeats of a target.
	HeartbeatMillis int64
	// GraceMillis is the time from the stop signal to the kill.
	GraceMillis int64
	// RetryRatio bounds the repeats at one service, over all nodes, to a part of
	// its requests.
	RetryRatio float64
}

// Check returns what is wrong with the settings, naming the setting, its value
// and what is allowed.
func (s Siting) Check() error {
	addresses := []struct{ name, value string }{
		{"callers' address", s.Callers},
		{"hops' address", s.Hops},
		{"ready address", s.Ready},
		{"control address", s.Control},
		{"peers' address", s.Peers},
		{"metrics address", s.Metrics},
		{"target's address", s.Target},
		{"store's address", s.Store},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return errors.Errorf("the %s is %q: it must be an IP number and a port", a.name, a.value)
		}
	}
	switch {
	case s.Service == "":
		return errors.New("the service is empty: it must name the target's service")
	case s.Centre == "":
		return errors.New("the data centre is empty: it must be named")
	case s.GraceMillis <= 0:
		return errors.Errorf("the grace is %d ms: it must be positive", s.GraceMillis)
	case s.RetryRatio < 0:
		return errors.Errorf("the retry ratio is %v: it may not be negative", s.RetryRatio)
	}
	return nil
}

// Changes names the settings that differ from another's, with both values.
func (s Siting) Changes(other Siting) []string {
	var all []string
	before, after := reflect.ValueOf(s), reflect.ValueOf(other)
	for i := range before.NumField() {
		was, is := before.Field(i).Interface(), after.Field(i).Interface()
		if !reflect.DeepEqual(was, is) {
			all = append(all, fmt.Sprintf("%s: %v, was %v", before.Type().Field(i).Name, is, was))
		}
	}
	return all
}
