package header

import (
	"net/http"
	"strings"
)

// Headers of responses between nodes.
const (
	// Refused and RetryAfterMillis mark a refusal by the gate itself.
	Refused          = "Loom-Refused"
	RetryAfterMillis = "Loom-Retry-After-Millis"
	// Threshold is the gate's own admission threshold.
	Threshold = "Loom-Threshold"
	// Lowest is the lowest threshold in the whole chain, as package bounds
	// writes it.
	Lowest = "Loom-Lowest"
	// UnusedAllowance is the part of the retry allowance that is returned, in
	// retries.
	UnusedAllowance = "Loom-Unused-Allowance"
	// Stalled is "true" in a refusal if the target sent nothing on one connection.
	// New ones may work, so the instance isn't lost.
	Stalled = "Loom-Stalled"
)

// Bearer is the prefix of an Authorization header that holds an API key.
const Bearer = "Bearer "

// projectPrefix is the prefix of all header names of the project.
const projectPrefix = "Loom-"

// hopByHop lists the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Forward returns the headers to forward: all except those of the connection,
// Authorization, Expect and the project's own.
func Forward(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !strings.HasPrefix(name, projectPrefix) {
			to[name] = values
		}
	}
	for _, list := range from["Connection"] {
		for _, name := range strings.Split(list, ",") {
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

// Key returns the API key in the Authorization header, and whether there is one.
func Key(h http.Header) (string, bool) {
	value := h.Get(Authorization)
	if len(value) <= len(Bearer) || !strings.EqualFold(value[:len(Bearer)], Bearer) {
		return "", false
	}
	return strings.TrimSpace(value[len(Bearer):]), true
}

// ContainsSecret reports whether any header except Authorization contains the
// secret.
func ContainsSecret(h http.Header, secret string) bool {
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
