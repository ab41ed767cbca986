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

// Links sends messages to peers and serves the calls of peers. It's safe for
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

// service is the net/rpc service that receives messages.
type service struct {
	receive func(kind, from string, body []byte)
}

// Deliver receives a batch of messages from another node. The result is always true:
// it only confirms that the batch has arrived. A malformed batch is an error.
func (p *service) Deliver(in parcel.Batch, arrived *bool) error {
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
// refuses a connection, confirmDead is called with its address and the incarnation
// known before the attempt: a refused connection confirms that it's dead.
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
	err := l.server.RegisterName("Peer", &service{receive: receive})
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
	q, ok := l.queues[to]
	if !ok {
		q = &peerQueue{links: l, to: to, ring: ring.New[message](queueMessages)}
		l.queues[to] = q
		go q.run(l.context)
	}
	return q
}

// removeIdle removes an idle queue, unless a message was just added to it, and
// reports whether it did.
func (l *Links) removeIdle(q *peerQueue) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if q.ring.Len() > 0 {
		return false
	}
	delete(l.queues, q.to)
	return true
}

// peerQueue sends queued messages to one peer.
type peerQueue struct {
	links  *Links
	to     string
	ring   *ring.Ring[message]
	client *rpc.Client
}

// run sends the queued messages, and ends when none came for idleTimeoutMillis.
func (q *peerQueue) run(ctx context.Context) {
	defer q.disconnect()
	for {
		idleCtx, cancel := context.WithTimeout(ctx, idleTimeoutMillis*time.Millisecond)
		first, ok := q.ring.Take(idleCtx)
		cancel()
		if ok {
			q.deliver(append([]message{first}, q.ring.TakeUpTo(maxBatchMessages-1)...))
			continue
		}
		if ctx.Err() != nil || q.links.removeIdle(q) {
			return
		}
	}
}

// deliver sends one batch. If that fails its messages are lost, which the protocols
// above handle.
func (q *peerQueue) deliver(batch []message) {
	if q.client == nil && !q.dial() {
		q.links.dropped.Inc(int64(len(batch)))
		return
	}
	b := parcel.New(q.links.self)
	for _, m := range batch {
		b.Add(m.kind, m.body)
		q.links.bytes.Inc(int64(len(m.body)))
	}
	q.links.sent.Inc(int64(len(batch)))
	call := q.client.Go(method, b, new(bool), make(chan *rpc.Call, 1))
	timeout := time.NewTimer(callTimeoutMillis * time.Millisecond)
	defer timeout.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			q.disconnect()
		}
	case <-timeout.C:
		q.disconnect()
	case <-q.links.context.Done():
	}
}

// dial connects to the peer. A refused connection confirms its incarnation dead.
func (q *peerQueue) dial() bool {
	incarnation := q.links.incarnation(q.to)
	ctx, cancel := context.WithTimeout(q.links.context, dialTimeoutMillis*time.Millisecond)
	defer cancel()
	dialer := &tls.Dialer{Config: q.links.tls}
	conn, err := dialer.DialContext(ctx, "tcp", q.to)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			q.links.confirmDead(q.to, incarnation)
		}
		return false
	}
	q.client = rpc.NewClientWithCodec(cborrp.New(conn, maxFrameBytes))
	return true
}

func (q *peerQueue) disconnect() {
	if q.client != nil {
		_ = q.client.Close()
		q.client = nil
	}
}
