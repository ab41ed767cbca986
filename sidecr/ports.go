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
	// headerTimeout is how long a caller may take for a request's head.
	headerTimeout = 10 * time.Second
	// peerIdle is longer than nodes keep their connections to others idle.
	peerIdle = 2 * time.Minute
	// callerIdle is how long callers' connections may be idle if the
	// configuration isn't known soon after the start, which says it.
	callerIdle  = 15 * time.Second
	configWait  = 400 * time.Millisecond
	headerBytes = 64 << 10
	// lameDuck is how long the node is there at least after a stop signal:
	// callers ask once a second whether it's ready, and leave after two misses.
	lameDuck = 3 * time.Second
	// stopReserve of the grace is kept for the last steps: answerTime for the
	// requests that run still, closeTime for the ports.
	stopReserve = 700 * time.Millisecond
	answerTime  = 300 * time.Millisecond
	closeTime   = 100 * time.Millisecond
	stopPoll    = 20 * time.Millisecond
)

// listen opens all ports and serves them.
func (n *Sidecar) listen(ready, control http.Handler) ([]*http.Server, error) {
	ports := []struct {
		name, address string
		handler       http.Handler
	}{
		{"control", n.siting.Control, control},
		{"hops", n.siting.Hops, n.serve(hops.Handler(n.gate))},
		{"peers", n.siting.Peers, n.peers()},
		{"metrics", n.siting.Metrics, n.metrics()},
		{"callers", n.siting.Callers, n.serve(n.entry)},
		{"ready", n.siting.Ready, ready},
	}
	var servers []*http.Server
	for _, p := range ports {
		var lc net.ListenConfig
		l, err := lc.Listen(context.Background(), "tcp", p.address)
		if err != nil {
			return nil, errors.Wrapf(err, "node: the port for %s", p.name)
		}
		s := &http.Server{
			Handler:           p.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       peerIdle,
			MaxHeaderBytes:    headerBytes,
			ConnContext:       socket.Context,
			BaseContext:       func(net.Listener) context.Context { return n.requests },
		}
		servers = append(servers, s)
		go func() {
			if p.name == "callers" {
				s.IdleTimeout = n.idle()
			}
			n.failed(p.name, s.Serve(l))
		}()
	}
	return servers, nil
}

// idle returns for how long callers' connections may be idle. The port is open
// already, so callers only wait a little longer for their first answer.
func (n *Sidecar) idle() time.Duration {
	for end := time.Now().Add(configWait); time.Now().Before(end); time.Sleep(stopPoll) {
		if c := n.follow.Current(); c != nil && c.IdleMillis() > 0 {
			return time.Duration(c.IdleMillis()) * time.Millisecond
		}
	}
	return callerIdle
}

// stop ends the node as planned: it takes no new work for its target, lets the
// callers go elsewhere, and answers all requests that it has read.
func (n *Sidecar) stop(servers []*http.Server) {
	began := time.Now()
	grace := time.Duration(n.siting.GraceMillis)*time.Millisecond - stopReserve
	n.stopping.Store(true)
	n.entry.EndAt(n.clock.Now() + grace.Milliseconds())
	n.gate.Stop()
	n.mesh.Send()
	n.log.Info("node: stopping", "Active", n.active.Load())
	n.waitIdle(min(lameDuck, grace), time.Until(began.Add(grace)))
	if active := n.active.Load(); active > 0 {
		n.log.Warn("node: requests end with the grace", "Active", active, "SinceMillis", time.Since(began).Milliseconds())
	}
	// What still runs is answered now: a closed connection would say less.
	n.endRequests(output.ErrStopping)
	n.waitIdle(0, answerTime)
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			n.log.Warn("node: a port was closed with requests open", "Error", err.Error(), "Active", n.active.Load())
		}
	}
}

// waitIdle waits for least, and then until no request is being served, at most
// for most in all.
func (n *Sidecar) waitIdle(least, most time.Duration) {
	for began := time.Now(); ; time.Sleep(stopPoll) {
		passed := time.Since(began)
		if passed >= most || passed >= least && n.active.Load() == 0 {
			return
		}
	}
}
