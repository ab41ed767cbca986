package slope

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/links"
	"bergamotloom.example/secret"
)

const (
	transportMessages    = 500
	messageBytes         = 30
	messageTimeoutMillis = 5000
	fleetSecret          = "a secret that only this measurement uses"
)

// transport is the cost of messages over real links between two nodes on loopback,
// for both ends together. Bytes are those of the TCP payload, without the headers
// of TCP and IP. BytesPerMessage is the overhead beyond messageBytes; the costs per
// connection are those of opening one.
type transport struct {
	BytesPerMessage     float64
	MicrosPerMessage    float64
	BytesPerConnection  float64
	MicrosPerConnection float64
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// linkPair is the links of two nodes, one of which sends to the other.
type linkPair struct {
	links    *links.Links
	bytes    atomic.Int64
	arrivals chan struct{}
}

func measureTransport() (transport, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return transport{}, errors.Wrap(err, "slope: listening on loopback")
	}
	defer func() { _ = listener.Close() }()
	p := &linkPair{arrivals: make(chan struct{}, transportMessages)}
	if err := p.open(ctx, listener); err != nil {
		return transport{}, err
	}
	to := listener.Addr().String()
	first, err := p.send(to, 1)
	if err != nil {
		return transport{}, err
	}
	steady, err := p.send(to, transportMessages)
	if err != nil {
		return transport{}, err
	}
	bytesPerMessage := steady.bytes / transportMessages
	microsPerMessage := steady.micros / transportMessages
	return transport{
		BytesPerMessage:     bytesPerMessage - messageBytes,
		MicrosPerMessage:    microsPerMessage,
		BytesPerConnection:  first.bytes - bytesPerMessage,
		MicrosPerConnection: first.micros - microsPerMessage,
	}, nil
}

func (p *linkPair) open(ctx context.Context, listener net.Listener) error {
	s, err := secret.New([]byte(fleetSecret))
	if err != nil {
		return errors.Wrap(err, "slope: creating the secret")
	}
	receive := func(string, string, []byte) { p.arrivals <- struct{}{} }
	incarnation := func(string) int64 { return 0 }
	confirmDead := func(string, int64) {}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p.links, err = links.New(ctx, "127.0.0.1:1", s, metrics.NewRegistry(), log, receive, incarnation, confirmDead)
	if err != nil {
		return errors.Wrap(err, "slope: creating the links")
	}
	go p.accept(listener, s.ServerTLS(links.Protocol))
	return nil
}

func (p *linkPair) accept(listener net.Listener, config *tls.Config) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.links.Serve(tls.Server(countedConn{conn, &p.bytes}, config))
	}
}

// send sends messages one at a time and waits for each, so that no two share a
// batch.
func (p *linkPair) send(to string, count int) (usage, error) {
	bytes, micros := p.bytes.Load(), processorMicros()
	for range count {
		p.links.Send(to, "Gossip", make([]byte, messageBytes))
		select {
		case <-p.arrivals:
		case <-time.After(messageTimeoutMillis * time.Millisecond):
			return usage{}, errors.New("slope: a message didn't arrive over loopback")
		}
		// Let the link go idle before the next message, as in a fleet.
		time.Sleep(time.Millisecond)
	}
	return usage{
		bytes:  float64(p.bytes.Load() - bytes),
		micros: float64(processorMicros() - micros),
	}, nil
}
