package sidecr

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/accept"
	"bergamotloom.example/hops"
	"bergamotloom.example/output"
	"bergamotloom.example/socket"
)

const (
	// callersPort and hopsPort name the ports for callers and for requests of
	// other nodes in logs and metrics.
	callersPort = "callers"
	hopsPort    = "hops"
	// headerTimeout is how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the idle timeout of all ports but the callers'. It exceeds
	// the time for which nodes keep idle connections to each other.
	idleTimeout = 2 * time.Minute
	// defaultCallerIdleTimeout is the idle timeout of callers' connections if
	// no configuration that sets it arrives within configTimeout after the
	// start.
	defaultCallerIdleTimeout = 15 * time.Second
	// configTimeout is how long the callers' port waits for the first
	// configuration.
	configTimeout  = 400 * time.Millisecond
	maxHeaderBytes = 64 << 10
	// minStopDelay is the min time from the stop signal to the closing of the
	// ports: callers check readiness once a second and switch to another node
	// after two failed checks.
	minStopDelay = 3 * time.Second
	// finalStepsTimeout is the part of the grace period that is kept for the
	// last steps: up to refusalTimeout for refusing the requests still in
	// flight, up to closeTimeout for closing the ports, and exitTimeout for the end
	// of the process. Connections linger until then.
	finalStepsTimeout = 700 * time.Millisecond
	refusalTimeout    = 300 * time.Millisecond
	closeTimeout      = 100 * time.Millisecond
	exitTimeout       = 200 * time.Millisecond
	// pollInterval is the time between two checks for the configuration or for
	// requests in flight.
	pollInterval = 20 * time.Millisecond
)

// listen opens all ports and serves them.
func (n *Sidecar) listen(ready, control http.Handler) ([]*http.Server, error) {
	ports := []struct {
		name, address string
		handler       http.Handler
	}{
		{"control", n.params.Control, control},
		{hopsPort, n.params.Hops, n.trackRequests(socket.Watch(hops.Handler(n.gate, n.intake)))},
		{"peers", n.params.Peers, n.peers()},
		{"metrics", n.params.Metrics, n.metrics()},
		{callersPort, n.params.Callers, n.trackRequests(socket.Watch(n.entry))},
		{"ready", n.params.Ready, ready},
	}
	for _, p := range ports {
		var lc net.ListenConfig
		l, err := lc.Listen(context.Background(), "tcp", p.address)
		if err != nil {
			return nil, errors.Wrapf(err, "node: listening on the port for %s", p.name)
		}
		n.ports[p.name] = accept.New(n.guard.Listen(n.linger.Listen(l)), p.name, n.maxOpen(p.name), n.clock, n.log)
	}
	var servers []*http.Server
	for _, p := range ports {
		servers = append(servers, n.serve(p.name, n.ports[p.name].Handler(p.handler)))
	}
	return servers, nil
}

// serve serves an open port in the background.
func (n *Sidecar) serve(port string, h http.Handler) *http.Server {
	a := n.ports[port]
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         a.ConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return a.ConnContext(socket.Context(ctx, c), c)
		},
		BaseContext: func(net.Listener) context.Context { return n.requests },
	}
	n.guard.Watch(s)
	go func() {
		if port == callersPort {
			s.IdleTimeout = n.callerIdleTimeout()
		}
		n.logServeError(port, s.Serve(a))
	}()
	return s
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
// that it has received.
func (n *Sidecar) stop(servers []*http.Server) {
	began := time.Now()
	grace := time.Duration(n.params.GraceMillis) * time.Millisecond
	drainTimeout := grace - finalStepsTimeout
	n.stopping.Store(true)
	n.entry.SetExitTime(n.clock.Now() + drainTimeout.Milliseconds())
	n.gate.Stop()
	n.mesh.Broadcast()
	n.log.Info("node: stopping", "Active", n.active.Load())
	n.waitIdle(min(minStopDelay, drainTimeout), time.Until(began.Add(drainTimeout)))
	n.waitLeaveRecorded(time.Until(began.Add(drainTimeout)))
	// Requests that still arrive are refused, and those that arrived before end.
	n.entry.SetExitTime(n.clock.Now())
	n.waitIdle(0, time.Until(began.Add(drainTimeout)))
	if active := n.active.Load(); active > 0 {
		n.log.Warn("node: requests end with the grace", "Active", active, "SinceMillis", time.Since(began).Milliseconds())
	}
	// Refuses the requests that are still running, so that their callers
	// receive the reason instead of a closed connection.
	n.endRequests(output.ErrStopping)
	n.waitIdle(0, refusalTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("node: a port was closed with requests in flight", "Error", err.Error(), "Active", n.active.Load())
		}
	}
	n.waitLingering(time.Until(began.Add(grace - exitTimeout)))
}

// waitLeaveRecorded waits until the store has recorded that the last target left, up to
// maxWait. What isn't recorded is gone with the process.
func (n *Sidecar) waitLeaveRecorded(maxWait time.Duration) {
	for end := time.Now().Add(maxWait); n.recordingLeave.Load() && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
}

// waitLingering waits until callers have received their responses, up to maxWait. The end
// of the process resets the connections that still have unread bytes.
func (n *Sidecar) waitLingering(maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	n.linger.Wait(ctx)
	lingering, lingered, cut := n.linger.Counts()
	n.log.Info("node: connections closed", "Lingered", lingered, "Lingering", lingering, "Cut", cut)
}

// waitIdle waits for minWait, and then until no request is being served and all responses
// are written, but no longer than maxWait in total.
func (n *Sidecar) waitIdle(minWait, maxWait time.Duration) {
	for began := time.Now(); ; time.Sleep(pollInterval) {
		elapsed := time.Since(began)
		if elapsed >= maxWait || elapsed >= minWait && n.active.Load() == 0 && n.responding() == 0 {
			return
		}
	}
}

// responding returns how many requests have a response that isn't written yet.
func (n *Sidecar) responding() int {
	return n.ports[callersPort].Responding() + n.ports[hopsPort].Responding()
}
