package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	stdlog "log"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"bergamotloom.example/guard"
	"bergamotloom.example/linger"
	"bergamotloom.example/links"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/secret"
	"bergamotloom.example/setup"
)

// Limits of the ports.
const (
	headerTimeoutMillis = 5_000
	idleTimeoutMillis   = 120_000
	maxHeaderBytes      = 32 * 1024
	// maxHeadsBytes bounds the memory that the heads of requests take, together at the
	// ports for callers and for the target.
	maxHeadsBytes = 8 << 20
	// maxOpenConns is how many connections may be open while closed ones linger.
	maxOpenConns = 4096
	// maxPeerStreams is the max number of concurrent requests on a peer's
	// connection.
	maxPeerStreams = 4096
	// A peer's connection that receives nothing for pingAfterMillis is pinged,
	// and closed without a response within pingTimeoutMillis.
	pingAfterMillis   = 500
	pingTimeoutMillis = 500
)

// ports holds the node's four listeners and their servers.
type ports struct {
	callers   net.Listener
	local     net.Listener
	peers     net.Listener
	operators net.Listener

	// guard counts the heads of requests.
	guard *guard.Guard
	// linger closes the connections of all listeners.
	linger       *linger.Linger
	tls          *tls.Config
	serveControl func(net.Conn)
	servers      map[net.Listener]*http.Server
}

func openPorts(ctx context.Context, s setup.Setup) (*ports, error) {
	p := &ports{
		guard:   guard.New(maxHeadsBytes, refuse.New(reason.Overloaded).Text()),
		linger:  linger.New(maxOpenConns),
		servers: make(map[net.Listener]*http.Server),
	}
	listens := []struct {
		address  string
		listener *net.Listener
	}{
		{s.Callers, &p.callers}, {s.Local, &p.local}, {s.Peers, &p.peers}, {s.Operators, &p.operators},
	}
	for _, l := range listens {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", l.address)
		if err != nil {
			p.close()
			return nil, errors.Wrapf(err, "node: listening on %s", l.address)
		}
		*l.listener = p.linger.Listen(listener)
	}
	p.callers, p.local = p.guard.Listen(p.callers), p.guard.Listen(p.local)
	return p, nil
}

func (p *ports) address(l net.Listener) string {
	return l.Addr().String()
}

// secure sets the TLS configuration of the peer port and the function that
// serves its control connections.
func (p *ports) secure(secret *secret.Secret, serveControl func(net.Conn)) {
	p.tls = secret.ServerTLS("h2", links.Protocol)
	p.serveControl = serveControl
}

// Addresses returns the addresses of the ports as one line of JSON, such as
// {"Callers":"127.0.0.1:7000","Local":...,"Peers":...,"Operators":...}.
func (n *Node) Addresses() string {
	p := n.ports
	raw, err := json.Marshal(struct{ Callers, Local, Peers, Operators string }{
		p.address(p.callers), p.address(p.local), p.address(p.peers), p.address(p.operators),
	})
	if err != nil {
		panic("node: encoding the addresses: " + err.Error())
	}
	return string(raw)
}

// serve starts all servers. The channel receives the error of each server that
// fails.
func (p *ports) serve(n *Node) <-chan error {
	failed := make(chan error, len(p.servers)+4)
	p.servers[p.callers] = newServer(catchAll(n.entry.CallerHandler()), n.log)
	p.servers[p.local] = newServer(n.localHandler(), n.log)
	for _, l := range []net.Listener{p.callers, p.local} {
		p.guard.Watch(p.servers[l])
	}
	p.servers[p.operators] = newServer(n.operatorsHandler(), n.log)
	p.servers[p.peers] = p.peerServer(n)
	for l, s := range p.servers {
		go func() {
			var err error
			if s.TLSConfig != nil {
				err = s.ServeTLS(l, "", "")
			} else {
				err = s.Serve(l)
			}
			if !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrap(err, "node: serving "+l.Addr().String())
			}
		}()
	}
	return failed
}

func newServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeoutMillis * time.Millisecond,
		IdleTimeout:       idleTimeoutMillis * time.Millisecond,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// peerServer returns the server for the peers' HTTP/2 requests and control
// connections.
func (p *ports) peerServer(n *Node) *http.Server {
	s := newServer(n.runner, n.log)
	s.Protocols = &http.Protocols{}
	s.Protocols.SetHTTP2(true)
	s.TLSConfig = p.tls
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxPeerStreams,
		SendPingTimeout:      pingAfterMillis * time.Millisecond,
		PingTimeout:          pingTimeoutMillis * time.Millisecond,
	}
	s.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){
		links.Protocol: func(_ *http.Server, conn *tls.Conn, _ http.Handler) { p.serveControl(conn) },
	}
	return s
}

// catchAll returns an echo server that passes every request to the handler,
// also those that echo's router can't match, such as a path without a slash.
func catchAll(h http.Handler) *echo.Echo {
	e := newEcho()
	e.RouteNotFound("/*", echo.WrapHandler(h))
	e.HTTPErrorHandler = func(_ error, c echo.Context) {
		if !c.Response().Committed {
			h.ServeHTTP(c.Response(), c.Request())
		}
	}
	return e
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.StdLogger = stdlog.New(discard{}, "", 0)
	return e
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// shutdown closes a port gracefully: it closes the listener and waits for the
// requests in flight until the context ends.
func (p *ports) shutdown(ctx context.Context, l net.Listener) error {
	s, ok := p.servers[l]
	if !ok {
		return nil
	}
	return errors.Wrap(s.Shutdown(ctx), "node: closing "+l.Addr().String())
}

// close closes all ports at once, without waiting for requests in flight.
func (p *ports) close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, l := range []net.Listener{p.callers, p.local, p.peers, p.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}
