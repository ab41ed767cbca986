// Package links carries control messages between nodes: one way, in batches,
// over net/rpc on TLS connections to the peer port.
//
// A message may be lost, and the protocols above expect that. Each peer has a
// bounded ring and a goroutine that sends what's in it; a call that gets no
// answer in its bound closes the connection, so that the next message goes
// over a new one.
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

// Protocol is the name under which the peer port offers control messages
// (ALPN).
const Protocol = "loom-control"

const (
	method = "Peer.Deliver"

	ringSize       = 512
	batchMost      = 64
	callMillis     = 500
	dialMillis     = 300
	idleMillis     = 120_000
	frameBytesMost = 4 << 20
)

// Links holds the connections to the peers that this node sends to.
type Links struct {
	self    string
	tls     *tls.Config
	server  *rpc.Server
	receive func(kind, from string, body []byte)
	life    func(peer string) int64
	gone    func(peer string, life int64)
	log     *slog.Logger

	context context.Context
	mutex   sync.Mutex
	lanes   map[string]*lane
	sent    metrics.Counter
	bytes   metrics.Counter
	dropped metrics.Counter
}

// message is one control message of some protocol.
type message struct {
	kind string
	body []byte
}

// peer is what the remote procedure is a method of.
type peer struct {
	receive func(kind, from string, body []byte)
}

// Deliver takes a batch of messages from another node. The result is always
// true: it only tells that the batch has arrived.
func (p *peer) Deliver(in parcel.Parcel, arrived *bool) error {
	if err := in.Check(); err != nil {
		return err
	}
	for i, kind := range in.Kinds {
		p.receive(kind, in.From, in.Bodies[i])
	}
	*arrived = true
	return nil
}

// New returns the links of the node self, which last until the context ends.
// Receive gets each message that comes in, on many goroutines. When a peer
// refuses a connection, gone is told its address and what life returned for it
// before the attempt: the incarnation that is thereby proved dead.
func New(ctx context.Context, self string, secret *secret.Secret, registry metrics.Registry, log *slog.Logger,
	receive func(kind, from string, body []byte), life func(peer string) int64, gone func(peer string, life int64),
) (*Links, error) {
	l := &Links{
		self:    self,
		tls:     secret.ClientTLS(Protocol),
		server:  rpc.NewServer(),
		receive: receive,
		life:    life,
		gone:    gone,
		log:     log,
		context: ctx,
		lanes:   make(map[string]*lane),
		sent:    metrics.GetOrRegisterCounter("Control.MessagesSent", registry),
		bytes:   metrics.GetOrRegisterCounter("Control.BytesSent", registry),
		dropped: metrics.GetOrRegisterCounter("Control.MessagesDropped", registry),
	}
	err := l.server.RegisterName("Peer", &peer{receive: receive})
	return l, errors.Wrap(err, "links: registering the remote procedure")
}

// Serve answers a peer's calls on its connection until that ends.
func (l *Links) Serve(conn net.Conn) {
	end := context.AfterFunc(l.context, func() { _ = conn.Close() })
	defer end()
	l.server.ServeCodec(cborrp.New(conn, frameBytesMost))
}

// Send queues a message for a peer and never waits. A full ring drops it.
func (l *Links) Send(to, kind string, body []byte) {
	if !l.laneTo(to).ring.Put(message{kind, body}) {
		l.dropped.Inc(1)
	}
}

func (l *Links) laneTo(to string) *lane {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	n, ok := l.lanes[to]
	if !ok {
		n = &lane{owner: l, to: to, ring: ring.New[message](ringSize)}
		l.lanes[to] = n
		go n.run(l.context)
	}
	return n
}

// retire takes an idle lane out, unless a message has just come for it.
func (l *Links) retire(n *lane) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if n.ring.Len() > 0 {
		return false
	}
	delete(l.lanes, n.to)
	return true
}

// lane sends to one peer.
type lane struct {
	owner  *Links
	to     string
	ring   *ring.Ring[message]
	client *rpc.Client
}

// run sends what comes into the ring, and ends when nothing came for a while.
func (n *lane) run(ctx context.Context) {
	defer n.hangUp()
	for {
		idle, cancel := context.WithTimeout(ctx, idleMillis*time.Millisecond)
		first, ok := n.ring.Take(idle)
		cancel()
		if ok {
			n.deliver(append([]message{first}, n.ring.Drain(batchMost-1)...))
			continue
		}
		if ctx.Err() != nil || n.owner.retire(n) {
			return
		}
	}
}

// deliver sends one batch. What fails is lost; the protocols repair it.
func (n *lane) deliver(batch []message) {
	if n.client == nil && !n.dial() {
		n.owner.dropped.Inc(int64(len(batch)))
		return
	}
	p := parcel.New(n.owner.self)
	for _, m := range batch {
		p.Add(m.kind, m.body)
		n.owner.bytes.Inc(int64(len(m.body)))
	}
	n.owner.sent.Inc(int64(len(batch)))
	call := n.client.Go(method, p, new(bool), make(chan *rpc.Call, 1))
	bound := time.NewTimer(callMillis * time.Millisecond)
	defer bound.Stop()
	select {
	case <-call.Done:
		if call.Error != nil {
			n.hangUp()
		}
	case <-bound.C:
		n.hangUp()
	case <-n.owner.context.Done():
	}
}

func (n *lane) dial() bool {
	life := n.owner.life(n.to)
	ctx, cancel := context.WithTimeout(n.owner.context, dialMillis*time.Millisecond)
	defer cancel()
	dialer := &tls.Dialer{Config: n.owner.tls}
	conn, err := dialer.DialContext(ctx, "tcp", n.to)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.owner.gone(n.to, life)
		}
		return false
	}
	n.client = rpc.NewClientWithCodec(cborrp.New(conn, frameBytesMost))
	return true
}

func (n *lane) hangUp() {
	if n.client != nil {
		_ = n.client.Close()
		n.client = nil
	}
}
