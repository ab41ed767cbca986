// Package inst holds one instance of a small fleet: a node and the stand-in
// target beside it.
package inst

import (
	"bergamotloom.example/proc"
	"bergamotloom.example/relay"
)

// Instance is a node and its target, which share a loopback address.
type Instance struct {
	// Name is made of service, centre and number.
	Name    string
	Service string
	Centre  string
	// Host is the loopback address that both processes use.
	Host   string
	Node   *proc.Proc
	Target *proc.Proc
	// The host:port addresses of the node's four ports and of the target. They're
	// empty until the first start, and later incarnations keep them.
	Callers       string
	Local         string
	Peers         string
	Operators     string
	TargetAddress string
	// PeerRelay and TargetRelay are in front of the peer port and the target;
	// nil in a layout without relays.
	PeerRelay   *relay.Relay
	TargetRelay *relay.Relay
	// RecordPath is the path of the file with the runs of all incarnations of the
	// target.
	RecordPath string
}

// AdvertisedAddress returns the address that the node advertises to its peers:
// that of its relay, if it has one, or else of its peer port.
func (i *Instance) AdvertisedAddress() string {
	if i.PeerRelay != nil {
		return i.PeerRelay.Address()
	}
	return i.Peers
}
