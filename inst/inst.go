// Package inst holds one instance of a small fleet: a node and the stand-in
// target beside it.
package inst

import (
	"bergamotloom.example/proc"
	"bergamotloom.example/relay"
)

// Instance is a node and its target on one loopback address.
type Instance struct {
	// Name is made of service, centre and number.
	Name    string
	Service string
	Centre  string
	// Host is the loopback address that both processes use.
	Host   string
	Node   *proc.Proc
	Target *proc.Proc
	// The node's four addresses, and the target's.
	Callers   string
	Local     string
	Peers     string
	Operators string
	TargetAddress    string
	// PeerRelay and TargetRelay stand before the peer port and the target, in
	// a layout with relays.
	PeerRelay   *relay.Relay
	TargetRelay *relay.Relay
	// Record is the file of the target's runs, over all its lives.
	Record string
}

// AdvertisedAddress returns the address under which peers reach the node.
func (i *Instance) AdvertisedAddress() string {
	if i.PeerRelay != nil {
		return i.PeerRelay.Address()
	}
	return i.Peers
}
