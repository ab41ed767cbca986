// Package sidecr is the process beside each target on the users' platform: it
// joins entry, gate, membership and configuration, and starts and stops them.
package sidecr

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/conns"
	"bergamotloom.example/crash"
	"bergamotloom.example/dialct"
	"bergamotloom.example/facts"
	"bergamotloom.example/feed"
	"bergamotloom.example/follow"
	"bergamotloom.example/hops"
	"bergamotloom.example/inbnd"
	"bergamotloom.example/mesh"
	"bergamotloom.example/notice"
	"bergamotloom.example/outbnd"
	"bergamotloom.example/params"
	"bergamotloom.example/parent"
	"bergamotloom.example/picker"
	"bergamotloom.example/ration"
	"bergamotloom.example/screen"
)

const (
	// tickMillis is the time between two steps of the decisions.
	tickMillis = 100
	// targetIdleMillis is for how long an idle connection to the target is used
	// again; many targets close theirs after some seconds.
	targetIdleMillis = 4000
	// aloneMillis after its start, a node that heard of no other is alone: peers
	// send their cards to those that are silent once a second.
	aloneMillis = 1500
	// restMillis without a request lets the node rest.
	restMillis = 1000
)

// Sidecar is one running node.
type Sidecar struct {
	siting params.Params
	clock  clock.Clock
	log    *slog.Logger
	store  feed.Feed
	follow *follow.Follow
	gate   *inbnd.Gate
	entry  *outbnd.Entry
	mesh   *mesh.Mesh
	ration *ration.Ration
	picker *picker.Picker
	screen *screen.Screen
	// facts tells all nodes which requests crash targets.
	facts *facts.Facts
	pool  *conns.Conns
	// registry holds what the metrics port serves.
	registry metrics.Registry

	// startedAt is when the node was made, by its clock.
	startedAt int64
	// requests is the context of all requests, which endRequests ends.
	requests    context.Context
	endRequests context.CancelCauseFunc
	stopping    atomic.Bool
	active      atomic.Int64
	usedAt      atomic.Int64
	group       sync.WaitGroup
}

// New returns a node that is about to run. The configuration lies in the
// store's table under the key, and decode reads it.
func New(s params.Params, w dialct.Dialect, store feed.Feed, table, key string, decode func([]byte) (*config.Config, error), c clock.Clock, log *slog.Logger) (*Sidecar, error) {
	seed := rand.Uint64()
	requests, endRequests := context.WithCancelCause(context.Background())
	n := &Sidecar{siting: s, clock: c, log: log, store: store, startedAt: c.Now(), registry: metrics.NewRegistry(), requests: requests, endRequests: endRequests}
	n.follow = follow.New(store, table, key, decode, c, log, n.apply, n.watches)
	n.pool = conns.New(s.Target, c, targetIdleMillis)
	book := parent.New(c, w.CallSeparator)
	self := card.Card{Peers: s.Peers, Incarnation: time.Now().UnixMilli(), Centre: s.Centre, Hops: s.Hops}
	var marks *crash.Marks
	n.facts = facts.New(c, func(key string, value []byte) { marks.OnFact(key, value) })
	marks = crash.New(c, s.Peers+"/"+strconv.FormatInt(self.Incarnation, 10), n.facts.Publish)
	n.gate = inbnd.New(c, w, s.Service, s.HeartbeatMillis, n.pool, book, marks, log, n.registry)
	n.ration = ration.New(c, s.FirstStart, seed)
	n.picker = picker.New(c, s.Centre, seed)
	n.screen = screen.New(c, seed)
	n.entry = outbnd.New(c, w, s.Peers, s.Service, s.RetryRatio, n.follow.Current,
		n.gate, hops.New(c, n.picker.Load), n.picker, n.screen, n.ration, book, marks, seed, log, n.registry)
	var err error
	n.mesh, err = mesh.New(self, c, seed, log, n.describe, n.busy, n.learn, n.forget)
	return n, err
}

// apply takes a configuration that comes into force: keys and routes are read
// from it by each request, rates are kept apart.
func (n *Sidecar) apply(c *config.Config) {
	n.ration.SetTeams(c.Teams())
}

// describe returns the node's card.
func (n *Sidecar) describe() card.Card {
	c := card.Card{Stopping: n.stopping.Load(), Version: n.follow.Version()}
	c = n.facts.Describe(n.ration.Describe(n.gate.Describe(c)))
	own := c
	own.Peers, own.Centre, own.Hops = n.siting.Peers, n.siting.Centre, n.siting.Hops
	n.picker.Learn(own)
	n.screen.Learn(own)
	return c
}

func (n *Sidecar) busy() bool {
	return n.clock.Now()-n.usedAt.Load() < restMillis || n.stopping.Load()
}

func (n *Sidecar) learn(c card.Card) {
	n.picker.Learn(c)
	n.screen.Learn(c)
	n.ration.Learn(c)
	n.facts.Learn(c)
}

func (n *Sidecar) forget(peer string) {
	n.picker.Forget(peer)
	n.screen.Forget(peer)
	n.ration.Forget(peer)
	n.facts.Forget(peer)
}

// OnHeartbeat processes a heartbeat of the target.
func (n *Sidecar) OnHeartbeat(ctx context.Context, b notice.Notice) {
	before, known := n.gate.Target()
	n.gate.Hear(b)
	after, now := n.gate.Target()
	if b.Leaving {
		n.keepLeave(ctx, b.Target)
	}
	if known != now || before != after {
		n.mesh.Send()
	}
}

// OnTargetLeaving processes the notice of a target that it will end.
func (n *Sidecar) OnTargetLeaving(ctx context.Context, target string) {
	n.gate.Leave(target)
	n.keepLeave(ctx, target)
	n.mesh.Send()
}

// Ready tells whether callers should send their requests here: a configuration
// is in force, and others were heard, unless the node seems to be alone.
func (n *Sidecar) Ready() bool {
	if n.stopping.Load() || n.follow.Current() == nil {
		return false
	}
	_, heard := n.mesh.Heard()
	return heard > 0 || n.clock.Since(n.startedAt) > aloneMillis
}

// Run serves until the context ends, and then stops as planned. Ready and
// control serve the platform at their addresses.
func (n *Sidecar) Run(ctx context.Context, ready, control http.Handler) error {
	duties, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	servers, err := n.listen(ready, control)
	if err != nil {
		return err
	}
	n.duty(duties, n.follow.Run)
	n.duty(duties, n.mesh.Run)
	n.duty(duties, n.tick)
	n.duty(duties, n.join)
	n.duty(duties, n.catchUp)
	n.log.Info("node: started", "Node", n.siting.Name, "Service", n.siting.Service, "Centre", n.siting.Centre, "Peers", n.siting.Peers, "FirstStart", n.siting.FirstStart)
	<-ctx.Done()
	n.stop(servers)
	end()
	n.group.Wait()
	n.log.Info("node: stopped")
	return nil
}

// Reload takes settings that changed while the node runs. Bounds count at the
// next start, as do addresses to listen on.
func (n *Sidecar) Reload(s params.Params) {
	n.log.Info("node: settings taken", "Changes", n.siting.Changes(s))
}

func (n *Sidecar) duty(ctx context.Context, work func(context.Context)) {
	n.group.Go(func() { work(ctx) })
}

// tick moves the decisions on.
func (n *Sidecar) tick(ctx context.Context) {
	t := time.NewTicker(tickMillis * time.Millisecond)
	defer t.Stop()
	for last := n.clock.Fine(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := n.clock.Fine()
		n.gate.Tick()
		n.ration.Tick(max(now-last, 1))
		last = now
	}
}

// serve counts the requests that are being served.
func (n *Sidecar) serve(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		n.usedAt.Store(n.clock.Now())
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// peers serves what nodes ask of one another.
func (n *Sidecar) peers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, func(w http.ResponseWriter, _ *http.Request) {
		content := n.follow.Content()
		if content == nil {
			http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = w.Write(content)
	})
	return mux
}

// failed tells why a port isn't served any more, unless the node stops.
func (n *Sidecar) failed(what string, err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("node: a port failed", "Port", what, "Error", err.Error())
	}
}
