// Package links sends control messages between nodes: one way, in batches, with
// net/rpc over TLS connections to the peer port.
//
// A message may be lost, and the protocols above handle that. Each peer has a
// bounded queue and a goroutine that sends from it. A call without a response
// within its timeout closes the connection, so that the next message uses a new
// one.
package links

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/cborrp"
	"bergamotloom.example/parcel"
	"bergamotloom.example/ring"
	"bergamotloom.example/secret"
)

// Protocol is the ALPN protocol name of control messages on the peer port.
const Protocol = "loom-control"

const (
	method = "Peer.Deliver"

	queueMessages     = 512
	maxBatchMessages  = 64
	callTimeoutMillis = 500
	dialTimeoutMillis = 300
	idleTimeoutMillis = 120_000
	maxFrameBytes     = 4 << 20
)

// Links holds the connections to the peers that this node sends to. It's safe for
// concurrent use.
type Links struct {
	self        string
	tls         *tls.Config
	server      *rpc.Server
	receive     func(kind, from string, body []byte)
	incarnation func(peer string) int64
	confirmDead func(peer string, incarnation int64)
	log         *slog.Logger

	context context.Context
	mutex   sync.Mutex
	queues  map[string]*peerQueue
	sent    metrics.Counter
	bytes   metrics.Counter
	dropped metrics.Counter
}

// message is one control message; kind names its protocol.
type message struct {
	kind string
	body []byte
}

// peer is the net/rpc service that receives messages.
type peer struct {
	receive func(kind, from string, body []byte)
}

// Deliver receives a batch of messages from another node. The result is always true:
// it only confirms that the batch has arrived. A malformed batch is an error.
func (p *peer) Deliver(in parcel.Batch, arrived *bool) error {
	if err := in.Check(); err != nil {
		return err
	}
	for i, kind := range in.Kinds {
		p.receive(kind, in.From, in.Bodies[i])
	}
	*arrived = true
	return nil
}

// New returns the Links of the node self, which work until the context ends.
// Receive is called with each incoming message, by many goroutines. When a peer
// refuses a connection, confirmDead is called with its address and what incarnation
// returned for it before the attempt, because that incarnation is confirmed dead.
// It returns an error if the remote procedure can't be registered.
func New(ctx context.Context, self string, secret *secret.Secret, registry metrics.Registry, log *slog.Logger,
	receive func(kind, from string, body []byte), incarnation func(peer string) int64, confirmDead func(peer string, incarnation int64),
) (*Links, error) {
	l := &Links{
		self:        self,
		tls:         secret.ClientTLS(Protocol),
		server:      rpc.NewServer(),
		receive:     receive,
		incarnation: incarnation,
		confirmDead: confirmDead,
		log:         log,
		context:     ctx,
		queues:      make(map[string]*peerQueue),
		sent:        metrics.GetOrRegisterCounter("Control.MessagesSent", registry),
		bytes:       metrics.GetOrRegisterCounter("Control.BytesSent", registry),
		dropped:     metrics.GetOrRegisterCounter("Control.MessagesDropped", registry),
	}
	err := l.server.RegisterName("Peer", &peer{receive: receive})
	return l, errors.Wrap(err, "links: registering the remote procedure")
}

// Serve handles a peer's calls on its connection until that ends.
func (l *Links) Serve(conn net.Conn) {
	stop := context.AfterFunc(l.context, func() { _ = conn.Close() })
	defer stop()
	l.server.ServeCodec(cborrp.New(conn, maxFrameBytes))
}

// Send queues a message for a peer and never blocks. If the queue is full, the
// message is dropped.
func (l *Links) Send(to, kind string, body []byte) {
	if !l.queueTo(to).ring.Put(message{kind, body}) {
		l.dropped.Inc(1)
	}
}

func (l *Links) queueTo(to string) *peerQueue {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n, ok := l.queues[to]
	if !ok {
		n = &peerQueue{owner: l, to: to, ring: ring.New[message](queueMessages)}
		l.queues[to] = n
		go n.run(l.context)
	}
	return n
}

// removeIdle removes an idle queue, unless a message was just added to it.
func (l *Links) removeIdle(n *peerQueue) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if n.ring.Len() > 0 {
		return false
	}
	delete(l.queues, n.to)
	return true
}

// peerQueue sends queued messages to one peer.
type peerQueue struct {
	owner  *Links
	to     string
	ring   *ring.Ring[message]
	client *rpc.Client
}

// run sends the queued messages, and ends when none came for idleTimeoutMillis.
func (n *peerQueue) run(ctx context.Context) {
	defer n.disconnect()
	for {
		idleCtx, cancel := context.WithTimeout(ctx, idleTimeoutMillis*time.Millisecond)
		first, ok := n.ring.Take(idleCtx)
		cancel()
		if ok {
			n.deliver(append([]message{first}, n.ring.Drain(maxBatchMessages-1)...))
			continue
		}
		if ctx.Err() != nil || n.owner.removeIdle(n) {
			return
		}
	}
}

// deliver sends one batch. If that fails its messages are lost, which the protocols
// above handle.
func (n *peerQueue) deliver(batch []message) {
	if n.client == nil && !n.dial() {
		n.owner.dropped.Inc(int64(len(batch)))
		return
	}
	b := parcel.New(n.owner.self)
	for _, m := range batch {
		b.Add(m.kind, m.body)
		n.owner.bytes.Inc(int64(len(m.body)))
	}
	n.owner.sent.Inc(int64(len(batch)))
	call := n.client.Go(method, b, new(bool), make(chan *rpc.Call, 1))
	timeout := time.NewTimer(callTimeoutMillis * time.Millisecond)
	defer timeout.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			n.disconnect()
		}
	case <-timeout.C:
		n.disconnect()
	case <-n.owner.context.Done():
	}
}

func (n *peerQueue) dial() bool {
	incarnation := n.owner.incarnation(n.to)
	ctx, cancel := context.WithTimeout(n.owner.context, dialTimeoutMillis*time.Millisecond)
	defer cancel()
	dialer := &tls.Dialer{Config: n.owner.tls}
	conn, err := dialer.DialContext(ctx, "tcp", n.to)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.owner.confirmDead(n.to, incarnation)
		}
		return false
	}
	n.client = rpc.NewClientWithCodec(cborrp.New(conn, maxFrameBytes))
	return true
}

func (n *peerQueue) disconnect() {
	if n.client != nil {
		_ = n.client.Close()
		n.client = nil
	}
}
