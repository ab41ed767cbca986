package header

import (
	"net/http"
	"strings"
)

// Headers between nodes, on answers over the hop.
const (
	// Refused and RetryAfterMillis mark an answer of the gate itself.
	Refused          = "Loom-Refused"
	RetryAfterMillis = "Loom-Retry-After-Millis"
	// Threshold is the gate's own admission threshold.
	Threshold = "Loom-Threshold"
	// Lowest is the lowest threshold in the whole chain, as package bounds
	// writes it.
	Lowest = "Loom-Lowest"
	// Unused is how much of the lent retry allowance comes back.
	Unused = "Loom-Unused-Allowance"
)

// Bearer is how the value of an Authorization header with a key begins.
const Bearer = "Bearer "

// ours is how the name of every header of the project begins.
const ours = "Loom-"

// hopByHop lists the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forward returns the headers that may pass on: all but those of the
// connection, the key and the project's own.
func Forward(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !strings.HasPrefix(name, ours) {
			to[name] = values
		}
	}
	for _, named := range from["Connection"] {
		for _, name := range strings.Split(named, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
	to.Del(Authorization)
	to.Del("Expect")
	return to
}

// Key returns the key in the Authorization header, and whether there is one.
func Key(h http.Header) (string, bool) {
	value := h.Get(Authorization)
	if len(value) <= len(Bearer) || !strings.EqualFold(value[:len(Bearer)], Bearer) {
		return "", false
	}
	return strings.TrimSpace(value[len(Bearer):]), true
}

// Holds tells whether any header but Authorization holds the secret text.
func Holds(h http.Header, secret string) bool {
	for name, values := range h {
		if name == Authorization {
			continue
		}
		for _, v := range values {
			if strings.Contains(v, secret) {
				return true
			}
		}
	}
	return false
}
