package sidecr

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/hops"
	"bergamotloom.example/output"
	"bergamotloom.example/socket"
)

const (
	// headerTimeout is how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// peerIdleTimeout exceeds the time for which nodes keep idle connections to
	// each other.
	peerIdleTimeout = 2 * time.Minute
	// defaultCallerIdleTimeout is the idle timeout of callers' connections if
	// no configuration that sets it arrives within configTimeout after the
	// start.
	defaultCallerIdleTimeout = 15 * time.Second
	configTimeout            = 400 * time.Millisecond
	maxHeaderBytes           = 64 << 10
	// minStopDelay is the min time from the stop signal to the closing of the
	// ports: callers check readiness once a second and switch to another node
	// after two failed checks.
	minStopDelay = 3 * time.Second
	// finalStepsTimeout is the end of the grace that is reserved for the last
	// steps: refusalTimeout to end the requests still in flight, closeTimeout
	// to close the ports.
	finalStepsTimeout = 700 * time.Millisecond
	refusalTimeout    = 300 * time.Millisecond
	closeTimeout      = 100 * time.Millisecond
	pollInterval      = 20 * time.Millisecond
)

// listen opens all ports and serves them.
func (n *Sidecar) listen(ready, control http.Handler) ([]*http.Server, error) {
	ports := []struct {
		name, address string
		handler       http.Handler
	}{
		{"control", n.params.Control, control},
		{"hops", n.params.Hops, n.serve(hops.Handler(n.gate))},
		{"peers", n.params.Peers, n.peers()},
		{"metrics", n.params.Metrics, n.metrics()},
		{"callers", n.params.Callers, n.serve(n.entry)},
		{"ready", n.params.Ready, ready},
	}
	var servers []*http.Server
	for _, p := range ports {
		var lc net.ListenConfig
		l, err := lc.Listen(context.Background(), "tcp", p.address)
		if err != nil {
			return nil, errors.Wrapf(err, "node: listening on the port for %s", p.name)
		}
		s := &http.Server{
			Handler:           p.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       peerIdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnContext:       socket.Context,
			BaseContext:       func(net.Listener) context.Context { return n.requests },
		}
		servers = append(servers, s)
		go func() {
			if p.name == "callers" {
				s.IdleTimeout = n.callerIdleTimeout()
			}
			n.logServeError(p.name, s.Serve(l))
		}()
	}
	return servers, nil
}

// callerIdleTimeout returns the idle timeout of callers' connections. It waits
// up to configTimeout for the configuration; as the port is already open, this
// only delays the first responses.
func (n *Sidecar) callerIdleTimeout() time.Duration {
	for end := time.Now().Add(configTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if c := n.follow.Current(); c != nil && c.IdleMillis() > 0 {
			return time.Duration(c.IdleMillis()) * time.Millisecond
		}
	}
	return defaultCallerIdleTimeout
}

// stop shuts the node down gracefully: it admits no new requests to its target,
// gives callers time to switch to other nodes, and responds to all requests
// that it has read.
func (n *Sidecar) stop(servers []*http.Server) {
	began := time.Now()
	grace := time.Duration(n.params.GraceMillis)*time.Millisecond - finalStepsTimeout
	n.stopping.Store(true)
	n.entry.EndAt(n.clock.Now() + grace.Milliseconds())
	n.gate.Stop()
	n.mesh.Send()
	n.log.Info("node: stopping", "Active", n.active.Load())
	n.waitIdle(min(minStopDelay, grace), time.Until(began.Add(grace)))
	if active := n.active.Load(); active > 0 {
		n.log.Warn("node: requests end with the grace", "Active", active, "SinceMillis", time.Since(began).Milliseconds())
	}
	// Refuses the requests that are still running, as a closed connection would
	// tell their callers less.
	n.endRequests(output.ErrStopping)
	n.waitIdle(0, refusalTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("node: a port was closed with requests in flight", "Error", err.Error(), "Active", n.active.Load())
		}
	}
}

// waitIdle waits for minWait, and then until no request is being served, but no
// longer than maxWait in total.
func (n *Sidecar) waitIdle(minWait, maxWait time.Duration) {
	for began := time.Now(); ; time.Sleep(pollInterval) {
		elapsed := time.Since(began)
		if elapsed >= maxWait || elapsed >= minWait && n.active.Load() == 0 {
			return
		}
	}
}
