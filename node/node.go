// Package node connects the parts of one node: its ports, its background tasks
// and its graceful shutdown.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/admit"
	"bergamotloom.example/calls"
	"bergamotloom.example/choose"
	"bergamotloom.example/claims"
	"bergamotloom.example/clock"
	"bergamotloom.example/crash"
	"bergamotloom.example/dispat"
	"bergamotloom.example/entry"
	"bergamotloom.example/forwrd"
	"bergamotloom.example/gossip"
	"bergamotloom.example/ident"
	"bergamotloom.example/inforc"
	"bergamotloom.example/links"
	"bergamotloom.example/local"
	"bergamotloom.example/member"
	"bergamotloom.example/quota"
	"bergamotloom.example/rates"
	"bergamotloom.example/remote"
	"bergamotloom.example/roster"
	"bergamotloom.example/runner"
	"bergamotloom.example/secret"
	"bergamotloom.example/setup"
	"bergamotloom.example/spread"
	"bergamotloom.example/store"
)

// platformTimeoutMillis limits each call to the platform.
const platformTimeoutMillis = 2000

// Kinds of control messages besides those of package spread.
const (
	gossipKind = "Gossip"
	quotaKind  = "Quota"
)

// Node is one running node.
type Node struct {
	setup    setup.Setup
	clock    clock.Clock
	log      *slog.Logger
	registry metrics.Registry
	ports    *ports

	platform   *remote.Client
	links      *links.Links
	gossip     *gossip.Gossip
	roster     *roster.Roster
	quota      *quota.Quota
	rates      *rates.Rates
	inForce    *inforc.Store
	spread     *spread.Spreader
	calls      *calls.Table
	suspects   *crash.Suspects
	claims     *claims.Claims
	target     *local.Target
	gate       *admit.Admitter
	forwarder  *forwrd.Forwarder
	dispatcher *dispat.Dispatcher
	entry      *entry.Entry
	runner     *runner.Runner

	// tasks is the context of the background tasks, which endTasks cancels
	// after the last request.
	tasks          context.Context
	endTasks       context.CancelFunc
	group          sync.WaitGroup
	membersChanged atomic.Bool
	leaving        atomic.Bool
	// confirmedDead is closed when peers hold proof that this incarnation is
	// dead.
	confirmedDead     chan struct{}
	confirmedDeadOnce sync.Once
}

// errConfirmedDead stops a node that peers consider confirmed dead. The
// platform replaces it; it must no longer use what it holds on behalf of the
// fleet.
var errConfirmedDead = errors.New("node: peers hold proof that this incarnation is dead")

// New opens the ports and builds the parts. The settings must have passed
// Check. It returns an error if a setting can't be used or a port can't be
// opened.
func New(ctx context.Context, s setup.Setup, c clock.Clock, log *slog.Logger) (*Node, error) {
	secret, err := secret.New(s.Secret)
	if err != nil {
		return nil, err
	}
	platform, err := remote.New(s.Platform, platformTimeoutMillis*time.Millisecond)
	if err != nil {
		return nil, err
	}
	opened, err := openPorts(ctx, s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		setup:         s,
		clock:         c,
		log:           log,
		registry:      metrics.NewRegistry(),
		ports:         opened,
		platform:      platform,
		inForce:       inforc.New(),
		calls:         calls.New(),
		target:        local.New(c),
		gate:          admit.New(c, s.QueueMillis, s.TeamsFirst),
		forwarder:     forwrd.New(c, secret),
		confirmedDead: make(chan struct{}),
	}
	// The tasks outlast the stop signal, as requests in flight need them.
	n.tasks, n.endTasks = context.WithCancel(context.WithoutCancel(ctx))
	if err := n.build(secret); err != nil {
		opened.close()
		n.endTasks()
		return nil, err
	}
	return n, nil
}

// build creates the parts that depend on each other.
func (n *Node) build(secret *secret.Secret) error {
	self := n.self()
	send := func(to, kind string, body []byte) { n.links.Send(to, kind, body) }
	n.gossip = gossip.New(self, n.clock, rand.Uint64(), func(to string, message []byte) {
		send(to, gossipKind, message)
	})
	n.roster = roster.New(n.platform.Table(), n.clock, rand.Uint64(), ident.New)
	n.suspects = crash.New(n.clock, incarnationID(self), n.log, n.publishFor, func(string, []byte) {})
	n.gossip.OnMember = n.memberChanged
	n.gossip.OnFact = func(key string, version int64, value []byte) {
		n.spread.OnFact(key, version, value)
		n.suspects.OnFact(key, value)
	}
	n.quota = quota.New(self.ID, self.Incarnation, n.clock, rand.Uint64(), func(to string, message []byte) {
		send(to, quotaKind, message)
	})
	n.rates = rates.New(n.clock, n.quota, n.platform.Table())
	n.spread = spread.New(n.clock, self.ID, store.New(n.platform.Table(), n.clock), n.inForce, n.gossip, send, n.registry, n.log)
	n.claims = claims.New(n.clock, n.platform.Table(), n.registry, n.log)
	chooser := choose.New(n.clock, n.setup.Centre, rand.Uint64())
	n.dispatcher = dispat.New(n.clock, n.forwarder, chooser, n.memberDead, n.memberSilent, n.requestLost)
	n.entry = entry.New(n.clock, n.spread.InForce, n.ownService, n.calls, n.dispatcher, n.rates, n.claims, n.suspects, n.registry, n.log)
	n.runner = runner.New(n.clock, n.gate, n.calls, n.target, n.suspects, n.registry, n.log)
	peerLinks, err := links.New(n.tasks, self.ID, secret, n.registry, n.log, n.receive, n.incarnationOf, n.peerDead)
	n.links = peerLinks
	n.ports.secure(secret, peerLinks.Serve)
	return errors.Wrap(err, "node")
}

// self returns the node's member record at its start.
func (n *Node) self() member.Member {
	id := n.setup.Advertise
	if id == "" {
		id = n.ports.address(n.ports.peers)
	}
	return member.Member{
		ID:          id,
		Incarnation: n.clock.Now(),
		Centre:      n.setup.Centre,
		Region:      n.setup.Region,
		Callers:     n.ports.address(n.ports.callers),
	}
}

// receive passes a control message to the part that handles its kind. All of
// them tolerate lost, late and duplicate messages.
func (n *Node) receive(kind, from string, body []byte) {
	switch kind {
	case gossipKind:
		n.gossip.Receive(from, body)
	case quotaKind:
		n.quota.Receive(from, body)
	case spread.Kind:
		n.spread.Receive(from, body)
	default:
		n.log.Warn("node: a peer sent a message of an unknown kind", "Kind", kind)
	}
}

func (n *Node) incarnationOf(peer string) int64 {
	m, ok := n.gossip.Member(peer)
	if !ok {
		return 0
	}
	return m.Incarnation
}

// peerDead records that an incarnation is confirmed dead, as its address
// refused a connection.
func (n *Node) peerDead(peer string, incarnation int64) {
	if incarnation == 0 {
		return
	}
	n.suspects.PeerDead(incarnationID(member.Member{ID: peer, Incarnation: incarnation}))
	n.gossip.ConfirmDead(peer, incarnation)
	n.quota.ConfirmDead(peer, incarnation)
}

// incarnationID returns a string that identifies one incarnation of a node.
func incarnationID(m member.Member) string {
	return m.ID + "/" + strconv.FormatInt(m.Incarnation, 10)
}

// memberChanged processes a changed member record.
func (n *Node) memberChanged(m member.Member) {
	n.membersChanged.Store(true)
	if m.Dead {
		n.suspects.PeerDead(incarnationID(m))
	}
}

// requestLost records a request that was lost at a peer.
func (n *Node) requestLost(m member.Member, fingerprint string) {
	n.suspects.RequestLost(incarnationID(m), fingerprint)
}

func (n *Node) publishFor(key string, version int64, value []byte, ttlMillis int64) {
	n.gossip.PublishFor(key, version, value, ttlMillis)
}

func (n *Node) memberDead(m member.Member) {
	n.peerDead(m.ID, m.Incarnation)
}

func (n *Node) memberSilent(m member.Member) {
	n.gossip.ReportUnresponsive(m.ID)
}

func (n *Node) ownService() string {
	name, _ := n.target.Service()
	return name
}

// Run serves until the context ends, and then shuts down gracefully. It returns
// an error if a port fails or if peers hold proof that this node is dead.
func (n *Node) Run(ctx context.Context) error {
	n.startTasks()
	failed := n.ports.serve(n)
	n.log.Info("node: ready", "Peers", n.ports.address(n.ports.peers), "Callers", n.ports.address(n.ports.callers))
	var err error
	select {
	case <-ctx.Done():
		n.stop()
	case <-n.confirmedDead:
		n.stop()
		err = errConfirmedDead
	case err = <-failed:
	}
	n.endTasks()
	n.ports.close()
	n.group.Wait()
	n.forwarder.Close()
	n.target.CloseIdleConnections()
	n.platform.Close()
	return err
}
