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
	transportCalls = 500
	messageBytes   = 30
	waitMillis     = 5000
	fleetSecret    = "a secret that only this measurement uses"
)

// transport is the cost of messages over the real links between two nodes, on
// loopback, both ends together. Bytes are those in the TCP segments, without
// headers of TCP and IP.
type transport struct {
	BytesPerMessage     float64
	MicrosPerMessage    float64
	BytesPerConnection  float64
	MicrosPerConnection float64
}

// counted counts the bytes of a connection, both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// post is two nodes' links, of which one sends to the other.
type post struct {
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
	p := &post{arrivals: make(chan struct{}, transportCalls)}
	if err := p.open(ctx, listener); err != nil {
		return transport{}, err
	}
	to := listener.Addr().String()
	first, err := p.send(to, 1)
	if err != nil {
		return transport{}, err
	}
	rest, err := p.send(to, transportCalls)
	if err != nil {
		return transport{}, err
	}
	perMessage := rest.bytes / transportCalls
	perMessageMicros := rest.micros / transportCalls
	return transport{
		BytesPerMessage:     perMessage - messageBytes,
		MicrosPerMessage:    perMessageMicros,
		BytesPerConnection:  first.bytes - perMessage,
		MicrosPerConnection: first.micros - perMessageMicros,
	}, nil
}

func (p *post) open(ctx context.Context, listener net.Listener) error {
	s, err := secret.New([]byte(fleetSecret))
	if err != nil {
		return errors.Wrap(err, "slope: the secret")
	}
	receive := func(string, string, []byte) { p.arrivals <- struct{}{} }
	life := func(string) int64 { return 0 }
	gone := func(string, int64) {}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p.links, err = links.New(ctx, "127.0.0.1:1", s, metrics.NewRegistry(), log, receive, life, gone)
	if err != nil {
		return errors.Wrap(err, "slope: the links")
	}
	go p.accept(listener, s.ServerTLS(links.Protocol))
	return nil
}

func (p *post) accept(listener net.Listener, config *tls.Config) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.links.Serve(tls.Server(counted{conn, &p.bytes}, config))
	}
}

// send sends messages one by one and waits for each, so that none share a
// batch.
func (p *post) send(to string, count int) (usage, error) {
	bytes, micros := p.bytes.Load(), processorMicros()
	for range count {
		p.links.Send(to, "Gossip", make([]byte, messageBytes))
		select {
		case <-p.arrivals:
		case <-time.After(waitMillis * time.Millisecond):
			return usage{}, errors.New("slope: a message got lost on loopback")
		}
		// The next message finds the lane waiting, as those of a fleet do.
		time.Sleep(time.Millisecond)
	}
	return usage{
		bytes:  float64(p.bytes.Load() - bytes),
		micros: float64(processorMicros() - micros),
	}, nil
}
