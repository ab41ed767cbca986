// Package sidecr implements the sidecar process of each target on the users'
// platform: it connects entry, gate, membership and configuration, and starts
// and stops them. Such a process is one node of the fleet.
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

	"bergamotloom.example/accept"
	"bergamotloom.example/alive"
	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/config"
	"bergamotloom.example/conns"
	"bergamotloom.example/crash"
	"bergamotloom.example/dialct"
	"bergamotloom.example/divide"
	"bergamotloom.example/evac"
	"bergamotloom.example/facts"
	"bergamotloom.example/feed"
	"bergamotloom.example/follow"
	"bergamotloom.example/fresh"
	"bergamotloom.example/guard"
	"bergamotloom.example/hops"
	"bergamotloom.example/inbnd"
	"bergamotloom.example/intake"
	"bergamotloom.example/linger"
	"bergamotloom.example/mesh"
	"bergamotloom.example/meter"
	"bergamotloom.example/notice"
	"bergamotloom.example/outbnd"
	"bergamotloom.example/params"
	"bergamotloom.example/parent"
	"bergamotloom.example/picker"
	"bergamotloom.example/ration"
	"bergamotloom.example/reason"
	"bergamotloom.example/screen"
	"bergamotloom.example/watch"
)

const (
	// tickMillis is the time between two updates of the gate and the rate
	// limits.
	tickMillis = 100
	// closeUnusableMillis is the time between two checks of the idle connections to
	// other nodes.
	closeUnusableMillis = 1000
	// targetIdleMillis is how long an idle connection to the target may be
	// reused; many targets close idle connections after a few seconds.
	targetIdleMillis = 4000
	// onlyNodeMillis is how long after its start a node that has received no
	// status card is considered the only one: peers send their cards to
	// silent nodes once a second.
	onlyNodeMillis = 1500
	// bodiesDivisor is the divisor of the node's memory that gives how much of it bodies
	// of requests may take. Each is copied once when it's sent, and twice that is left
	// for the rest of the process and for garbage.
	bodiesDivisor = 6
	// headsDivisor is the same for heads, which are copied once too.
	headsDivisor = 12
	// busyMillis is how long after its last request a node counts as busy. A
	// busy node sends its status card more often.
	busyMillis = 1000
)

// Sidecar is the node process of one target.
type Sidecar struct {
	params params.Params
	clock  clock.Clock
	log    *slog.Logger
	store  feed.Feed
	// meter is the store, which counts its calls.
	meter  *meter.Meter
	follow *follow.Follow
	// evac knows which data centres are under evacuation. EvacuateMutex is held while a
	// change is put in force.
	evac          *evac.Evac
	evacuateMutex sync.Mutex
	// crashes follows the table of crashes.
	crashes *watch.Watch
	gate    *inbnd.Gate
	entry   *outbnd.Entry
	mesh    *mesh.Mesh
	ration  *ration.Ration
	picker  *picker.Picker
	screen  *screen.Screen
	divide  *divide.Divide
	hops    *hops.Hops
	// intake bounds the memory that the bodies of requests take.
	intake *intake.Intake
	// guard bounds the memory that their heads take.
	guard *guard.Guard
	// linger closes the connections of all ports.
	linger *linger.Linger
	// facts distributes the crash suspects to all nodes.
	facts    *facts.Facts
	suspects *crash.Suspects
	targets  targetStarts
	pool     *conns.Conns
	// ports holds the listeners of all ports by name. It isn't changed any more once
	// they are served.
	ports map[string]*accept.Accept
	// accepting is false while the port for callers accepts no connections.
	accepting atomic.Bool
	// registry holds the metrics that the metrics port serves.
	registry metrics.Registry

	// startedMillis is when the node was created, by its clock.
	startedMillis int64
	// requests is the parent context of all requests; endRequests cancels it.
	requests    context.Context
	endRequests context.CancelCauseFunc
	stopping    atomic.Bool
	// recordingLeave is true while a background task records that the last target
	// left.
	recordingLeave atomic.Bool
	// knowsLeft is true once the target that left was read from a store that was never
	// away since the start of the node.
	knowsLeft atomic.Bool
	// alive has the proof that the target stays, asking is true while it's asked, and
	// askedMillis is when it was asked last.
	alive       *alive.Alive
	asking      atomic.Bool
	askedMillis atomic.Int64
	// kept is the last heartbeat while the gate may not open yet.
	keptMutex sync.Mutex
	kept      *notice.Notice
	// writtenEra is the era of the store in which all rows of the node are written.
	// nodeEra and leftEra are those in which its own row and that of its last target
	// that left were last written. They're -1 before that.
	writtenEra atomic.Int64
	nodeEra    atomic.Int64
	leftEra    atomic.Int64
	// rewritten counts the rows that were written anew after a restore.
	rewritten atomic.Int64
	// fetchedLocal and fetchedRemote are the bytes of configurations that were fetched
	// from peers in the node's own data centre and in others.
	fetchedLocal  atomic.Int64
	fetchedRemote atomic.Int64
	// rejectedRatesMillis is when impossible rates on a card were last logged.
	rejectedRatesMillis atomic.Int64
	active              atomic.Int64
	lastRequestMillis   atomic.Int64
	group               sync.WaitGroup
}

// New returns a node that isn't running yet. The configuration is in the row
// with this key of the store's table, and decode parses it. Keys of evacuations there have
// the prefix. New returns an
// error if the UDP port of the mesh can't be opened.
func New(p params.Params, dialect dialct.Dialect, store feed.Feed, table, key, evacuationKeyPrefix string, decode func([]byte) (*config.Config, error), c clock.Clock, log *slog.Logger) (*Sidecar, error) {
	seed := rand.Uint64()
	requests, endRequests := context.WithCancelCause(context.Background())
	registry := metrics.NewRegistry()
	counted := meter.New(store, registry)
	n := &Sidecar{params: p, clock: c, log: log, store: counted, meter: counted, startedMillis: c.Now(), registry: registry, ports: make(map[string]*accept.Accept), targets: targetStarts{millis: make(map[string]int64)}, requests: requests, endRequests: endRequests, alive: alive.New(c)}
	for _, era := range []*atomic.Int64{&n.writtenEra, &n.nodeEra, &n.leftEra} {
		era.Store(-1)
	}
	n.evac = evac.New(c, evacuationKeyPrefix, p.Centres, p.EvacuationMillis > 0, log, n.applyEvacuations)
	n.follow = follow.New(counted, table, key, decode, c, log, n.apply, fresh.New(c, n.storeBoundMillis(), c.Now()+dutyDelayMillis), n.evac, n)
	n.crashes = watch.New(counted, crashesTable, crashesWaitMillis, c, log, fresh.New(c, 0, c.Now()), n, func() bool { return true }, n.learnCrashes)
	n.pool = conns.New(p.Target, c, targetIdleMillis)
	parents := parent.New(c, dialect.CallSeparator)
	self := card.Card{Peers: p.Peers, Incarnation: time.Now().UnixMilli(), Centre: p.Centre, Hops: p.Hops}
	n.facts = facts.New(c, func(key string, value []byte) { n.suspects.OnFact(key, value) })
	n.suspects = crash.New(c, p.Peers+"/"+strconv.FormatInt(self.Incarnation, 10), log, n.publishFact, n.keepCrash)
	n.gate = inbnd.New(c, dialect, p.Peers, p.Service, p.HeartbeatMillis, p.FirstStart, n.pool, parents, n.suspects, n.onLeavingResponse, log, n.registry)
	n.ration = ration.New(c, p.FirstStart, seed)
	n.picker = picker.New(c, p.Centre, seed)
	n.picker.Spill(p.LostCentres >= 1, p.SpillCostMillis, log)
	if p.LostCentres < 0 {
		log.Warn("node: ignored a malformed setting", "Setting", "fault_tolerance.zones", "Value", 0)
	}
	n.divide = divide.New(c, seed)
	n.screen = screen.New(c, n.divide)
	n.hops = hops.New(c, n.maxSockets()/idleHopsDivisor, n.picker.UpdateLoad)
	n.intake = intake.New(p.MemoryBytes / bodiesDivisor)
	n.guard = guard.New(p.MemoryBytes/headsDivisor, hops.Refusal(reason.Overloaded))
	n.linger = linger.New(int(2 * requestPortFraction * float64(n.maxSockets())))
	n.entry = outbnd.New(c, dialect, p.Peers, p.Service, p.RetryRatio, n.follow.Current,
		n.gate, n.intake, n.hops, n.picker, n.screen, n.ration, parents, n.suspects, seed, log, n.registry)
	var err error
	n.mesh, err = mesh.New(self, c, seed, log, n.describe, n.busy, n.learn, n.learnOwn, n.forget)
	return n, err
}

// apply puts the rates of a new configuration in force, and the bounds of the node's own
// service. Each request reads keys
// and routes from the configuration itself.
func (n *Sidecar) apply(c *config.Config) {
	n.ration.SetTeams(c.Teams())
	n.divide.SetTeams(c.Teams())
	if s, ok := c.Service(n.params.Service); ok {
		n.gate.Configure(s)
	}
}

// describe returns the node's status card, for nodes in its own data centre or in
// others, and updates the node's own entry in instance selection and outlier ejection.
func (n *Sidecar) describe(toRemote bool) card.Card {
	c := card.Card{Stopping: n.stopping.Load(), StoreEra: n.store.Era(), StoreLost: n.StoreLost()}
	c = n.follow.Describe(c, c.StoreEra)
	c = n.picker.Describe(c)
	c = n.suspects.Describe(n.facts.Describe(n.ration.Describe(n.gate.Describe(c), toRemote)))
	own := c
	own.Peers, own.Centre, own.Hops = n.params.Peers, n.params.Centre, n.params.Hops
	n.picker.Learn(own)
	n.screen.Learn(own)
	n.divide.Learn(own)
	return n.divide.Describe(c, toRemote)
}

func (n *Sidecar) busy() bool {
	return n.clock.Now()-n.lastRequestMillis.Load() < busyMillis || n.stopping.Load() || n.follow.HasNews()
}

func (n *Sidecar) learn(c card.Card) {
	n.follow.Learn(c, n.store.Era(), n.clock.Now())
	n.picker.Learn(c)
	n.screen.Learn(c)
	n.learnDivide(c)
	n.ration.Learn(c)
	n.facts.Learn(c)
	n.suspects.Learn(c)
	if startMillis, died := n.targets.learn(c); died {
		n.suspects.PeerDead(crash.TargetID(c.Peers, startMillis))
	}
}

func (n *Sidecar) forget(peer string) {
	n.picker.Forget(peer)
	n.screen.Forget(peer)
	n.divide.Forget(peer)
	n.ration.Forget(peer)
	n.facts.Forget(peer)
	n.targets.forget(peer)
}

// OnTargetLeaving processes the removal of a target's heartbeat, with which it
// announces that it will end. A last heartbeat may announce the same.
func (n *Sidecar) OnTargetLeaving(ctx context.Context, target string) {
	if b, ok := n.takeKept(target); ok {
		// It tells which incarnation leaves.
		n.gate.HandleHeartbeat(b.WithLeaving())
	}
	n.gate.MarkLeaving(target)
	n.recordLeave(ctx, target)
	n.mesh.Broadcast()
}

// onLeavingResponse processes a response with which the target announced that it
// leaves. The gate is closed already.
func (n *Sidecar) onLeavingResponse(target string) {
	n.mesh.Broadcast()
	n.recordLeave(context.Background(), target)
}

// Ready reports whether callers should send their requests to this node: it accepts
// their connections, a configuration is in force, and the node has received a status
// card or seems to be the only node.
func (n *Sidecar) Ready() bool {
	if n.stopping.Load() || n.follow.Current() == nil || !n.accepting.Load() {
		return false
	}
	_, live := n.mesh.PeerCounts()
	return live > 0 || n.clock.Since(n.startedMillis) > onlyNodeMillis
}

// Run serves until the context ends, and then shuts down gracefully. The
// handlers ready and control serve the platform's requests at these two
// addresses. It returns an error if a port can't be opened.
func (n *Sidecar) Run(ctx context.Context, ready, control http.Handler) error {
	tasks, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	servers, err := n.listen(ready, control)
	if err != nil {
		return err
	}
	n.runTask(tasks, n.follow.Run)
	n.runTask(tasks, n.crashes.Run)
	n.runTask(tasks, n.mesh.Run)
	n.runTask(tasks, n.tick)
	n.runTask(tasks, n.checkAccepting)
	n.runTask(tasks, n.runMembership)
	n.runTask(tasks, n.watchEra)
	n.runTask(tasks, n.catchUp)
	n.runTask(tasks, n.logTotals)
	n.log.Info("node: started", "Node", n.params.Name, "Service", n.params.Service, "Centre", n.params.Centre, "Peers", n.params.Peers, "FirstStart", n.params.FirstStart)
	<-ctx.Done()
	n.stop(servers)
	end()
	n.group.Wait()
	n.log.Info("node: stopped")
	return nil
}

// Reload logs the settings that changed while the node runs. The node applies
// none of them before the next start.
func (n *Sidecar) Reload(p params.Params) {
	n.log.Info("node: settings taken", "Changes", n.params.Changes(p))
}

func (n *Sidecar) runTask(ctx context.Context, work func(context.Context)) {
	n.group.Go(func() { work(ctx) })
}

// tick updates the gate and the rate limits at each interval.
func (n *Sidecar) tick(ctx context.Context) {
	t := time.NewTicker(tickMillis * time.Millisecond)
	defer t.Stop()
	closedUnusableAt := n.clock.Now()
	for last := n.clock.Fine(); ; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := n.clock.Fine()
		n.handleKeptHeartbeat(ctx)
		n.gate.Tick()
		n.ration.Tick(max(now-last, 1))
		n.divide.Tick(max(now-last, 1))
		last = now
		if n.clock.Since(closedUnusableAt) >= closeUnusableMillis {
			closedUnusableAt = n.clock.Now()
			n.hops.CloseUnusable()
			n.logDivided()
		}
	}
}

// trackRequests counts the requests in flight, and ends connections after their
// current request while the node stops or too many are open.
func (n *Sidecar) trackRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		n.lastRequestMillis.Store(n.clock.Now())
		if n.stopping.Load() || accept.IsExcess(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// peers serves the requests of other nodes for the configuration.
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

// logServeError logs why a port is no longer served, unless the node is
// stopping.
func (n *Sidecar) logServeError(port string, err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("node: serving a port failed", "Port", port, "Error", err.Error())
	}
}
