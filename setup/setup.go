// Package setup holds the settings of a node and validates them.
package setup

import (
	"net"
	"net/netip"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/secret"
)

// Setup holds the settings with which a node starts.
type Setup struct {
	// Callers, Local, Peers and Operators are the addresses to listen on, as
	// IP number and port; port 0 takes any free one.
	Callers   string
	Local     string
	Peers     string
	Operators string
	// Advertise is the address at which peers reach the peer port, which is
	// then the node's ID. If it's empty, both are the address to listen on.
	Advertise string
	// Platform is the base URL of the platform's table service.
	Platform string
	// Secret is the fleet's shared secret.
	Secret []byte
	// Centre and Region name the data centre and the region of the instance.
	Centre string
	Region string
	// Join lists the peer addresses of nodes through which the node may join.
	Join []string
	// DrainMillis limits how long a graceful shutdown waits for requests in
	// flight, in milliseconds.
	DrainMillis int64
	// QueueMillis is the max queueing delay at the gate, in milliseconds; 0
	// selects the gate's default.
	QueueMillis float64
	// TeamsFirst divides the capacity between the teams over all ranks below
	// Critical together, and not within each rank.
	TeamsFirst bool
}

// Check returns an error for the first invalid setting, with its value and what
// is allowed.
func (s Setup) Check() error {
	listens := []struct{ name, value string }{
		{"--callers", s.Callers}, {"--local", s.Local}, {"--peers", s.Peers}, {"--operators", s.Operators},
	}
	for _, l := range listens {
		if _, err := netip.ParseAddrPort(l.value); err != nil {
			return errors.Errorf("%s is %q: it must be an IP number and a port, as 127.0.0.1:7000", l.name, l.value)
		}
	}
	if !isLoopback(s.Local) {
		return errors.Errorf("--local is %q: it must be a loopback address, as only the own target may reach it", s.Local)
	}
	if _, err := netip.ParseAddrPort(s.Advertise); s.Advertise != "" && err != nil {
		return errors.Errorf("--advertise is %q: it must be an IP number and a port, as 127.0.0.1:7000", s.Advertise)
	}
	for _, j := range s.Join {
		if _, err := netip.ParseAddrPort(j); err != nil {
			return errors.Errorf("--join is %q: it must be IP numbers and ports of peers", j)
		}
	}
	switch {
	case !isPlatformAddress(s.Platform):
		return errors.Errorf("--platform is %q: it must be a URL, as http://127.0.0.1:7070", s.Platform)
	case s.Centre == "":
		return errors.New("--centre is empty: it must name the data centre")
	case s.Region == "":
		return errors.New("--region is empty: it must name the region")
	case len(s.Secret) < secret.MinBytes:
		return errors.Errorf("--secret, or the content of --secret-file, has %d bytes: it must have at least %d", len(s.Secret), secret.MinBytes)
	case s.DrainMillis <= 0:
		return errors.Errorf("--drain is %d ms: it must be positive", s.DrainMillis)
	case s.QueueMillis < 0:
		return errors.Errorf("--queue is %v ms: it must not be negative", s.QueueMillis)
	}
	return nil
}

// isPlatformAddress reports whether the platform's client accepts the address, a
// URL or only a host and port.
func isPlatformAddress(address string) bool {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	parsed, err := url.Parse(address)
	return err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
