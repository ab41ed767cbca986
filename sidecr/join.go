package sidecr

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/card"
	"bergamotloom.example/duty"
	"bergamotloom.example/feed"
	"bergamotloom.example/meter"
	"bergamotloom.example/muster"
	"bergamotloom.example/pause"
	"bergamotloom.example/record"
	"bergamotloom.example/step"
)

const (
	// nodesTable holds a row for each node, by the address that peers use.
	nodesTable = "Nodes"
	// leftTable holds, by the node's address, the node's last target that ended
	// as planned. Nodes of earlier builds read it when they start.
	leftTable  = "Left"
	configPath = "/loom/config"
	// minRetryDelay and maxRetryDelay bound the delay between two attempts to
	// reach the store.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// musterDelay is the time between two checks whether the node has to read or write
	// the table of nodes.
	musterDelay = 100 * time.Millisecond
	// dutyDelayMillis is how long after its start a node does nothing for the fleet, as
	// it doesn't know its peers yet.
	dutyDelayMillis = 1000
	// recordLeaveTimeout bounds how long a leaving target waits for its
	// acknowledgement while the store records that it leaves, and each later attempt.
	recordLeaveTimeout = 600 * time.Millisecond
	// maxLeaveRetryDelay bounds the delay between two attempts to record a leave: until one
	// succeeds, nobody knows of the leave if all nodes restart.
	maxLeaveRetryDelay = 300 * time.Millisecond
	// versionCheckMillis is the time between two comparisons with the peers'
	// configuration versions.
	versionCheckMillis = 100
	// localSourceMillis is how long a node waits for a peer in its own data centre to
	// have a new configuration; some wait for twice as long.
	localSourceMillis = 200
	// fetchTimeout and maxConfigBytes limit the fetch of a configuration from a
	// peer.
	fetchTimeout   = time.Second
	maxConfigBytes = 8 << 20
)

// runMembership writes the node's row to the store and reads other nodes from it, as
// package muster decides, until the context ends.
func (n *Sidecar) runMembership(ctx context.Context) {
	n.addSeeds()
	m := muster.New(n.params.FirstStart, n.clock.Now(), rand.Uint64())
	hasStarted := false
	for ctx.Err() == nil {
		known, heard := n.mesh.PeerCounts()
		watches := n.Duty().Watches
		next := m.Next(n.clock.Now(), known, heard, watches)
		switch next {
		case step.Wait:
			hasStarted = hasStarted || n.clock.Since(n.startedMillis) > dutyDelayMillis
			pause.For(ctx, musterDelay)
		case step.Write:
			n.retry(ctx, reasonAfterStart(hasStarted, meter.Renewal), "writing the node's row", n.writeNode)
			m.RowWritten(n.clock.Now())
			if hasStarted && watches {
				n.retry(ctx, meter.Removal, "removing stale rows", n.removeStale)
				n.retry(ctx, meter.Removal, "removing stale rows", n.removeExpiredCrashes)
			}
		case step.ReadNear:
			n.retry(ctx, meter.Start, "reading the nodes", func(ctx context.Context) error { return n.readNear(ctx, m) })
		case step.ReadAll:
			reason := meter.Silence
			if watches {
				reason = meter.Watch
			}
			n.retry(ctx, reasonAfterStart(hasStarted, reason), "reading the nodes", func(ctx context.Context) error { return n.readNodes(ctx, m) })
		}
	}
}

// reasonAfterStart returns for counters why the table of nodes is read or written.
func reasonAfterStart(hasStarted bool, reason string) string {
	if hasStarted {
		return reason
	}
	return meter.Start
}

// Duty returns what this node does for the fleet.
func (n *Sidecar) Duty() duty.Duty {
	if n.stopping.Load() || n.clock.Since(n.startedMillis) < dutyDelayMillis {
		return duty.Duty{}
	}
	return duty.Of(n.params.Peers, n.StoreLost(), n.mesh.Cards())
}

// StoreLost reports whether this node couldn't reach the store when it last tried.
func (n *Sidecar) StoreLost() bool {
	return n.meter.Lost()
}

// PeerCount returns the number of peers.
func (n *Sidecar) PeerCount() int {
	known, _ := n.mesh.PeerCounts()
	return known
}

// addSeeds adds the seeds to the mesh. They're given by their control ports;
// all nodes of a fleet have the same ports.
func (n *Sidecar) addSeeds() {
	_, port, err := net.SplitHostPort(n.params.Peers)
	if err != nil {
		n.log.Error("node: the peer address is malformed, ignoring all seeds", "Error", err.Error())
		return
	}
	for _, seed := range n.params.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			n.log.Warn("node: a seed address is malformed, ignoring it", "Address", seed, "Error", err.Error())
			continue
		}
		n.mesh.Add(net.JoinHostPort(host, port))
	}
}

// readNear adds the nodes of the rows next to this node's own one to the mesh, and
// takes in what that one tells. Near the end of the table it begins anew.
func (n *Sidecar) readNear(ctx context.Context, m *muster.Muster) error {
	rows, at, _, err := n.store.Page(ctx, nodesTable, n.params.Peers, muster.NearRows)
	if err != nil {
		return err
	}
	if len(rows) < muster.NearRows/2 {
		first, _, _, err := n.store.Page(ctx, nodesTable, "", muster.NearRows)
		if err != nil {
			return err
		}
		rows = append(rows, first...)
	}
	own, others := n.addNodes(rows)
	if err := n.readLeft(ctx, own, at.Era); err != nil {
		return err
	}
	if own.isFresh(n.clock.Now()) {
		m.RowFound(n.clock.Now())
		n.writtenEra.CompareAndSwap(-1, at.Era)
		n.nodeEra.Store(at.Era)
	}
	m.NodesRead(n.clock.Now(), others, false)
	return nil
}

// readNodes adds all nodes in the store to the mesh.
func (n *Sidecar) readNodes(ctx context.Context, m *muster.Muster) error {
	rows, _, err := feed.Rows(ctx, n.store, nodesTable)
	if err != nil {
		return err
	}
	own, others := n.addNodes(rows)
	if !own.isFresh(n.clock.Now()) {
		m.RowMissing()
	}
	m.NodesRead(n.clock.Now(), others, true)
	return nil
}

// addNodes adds the nodes of these rows to the mesh. It returns this node's own row,
// which is empty if there's none, and the number of the others.
func (n *Sidecar) addNodes(rows []record.Record) (own nodeRow, others int) {
	for _, r := range rows {
		if r.Key != n.params.Peers {
			n.mesh.Add(r.Key)
			others++
			continue
		}
		if err := json.Unmarshal(r.Value, &own); err != nil {
			n.log.Warn("node: this node's own row is malformed", "Row", string(r.Value), "Error", err.Error())
			own = nodeRow{}
		}
	}
	return own, others
}

// readLeft takes in which target left beside an earlier process of this node. Own is
// the node's row; if an earlier build has written it, a row of its own tells that.
func (n *Sidecar) readLeft(ctx context.Context, own nodeRow, era int64) error {
	if n.params.FirstStart {
		return nil
	}
	if !own.TellsLeft {
		rows, at, _, err := n.store.Page(ctx, leftTable, n.params.Peers, 1)
		if err != nil {
			return err
		}
		era = at.Era
		if len(rows) > 0 && rows[0].Key == n.params.Peers {
			var left leftRow
			if err := json.Unmarshal(rows[0].Value, &left); err != nil {
				n.log.Warn("node: the row of the target that left is malformed", "Row", string(rows[0].Value), "Error", err.Error())
			}
			own.LeftTarget, own.LeftBornMillis = left.Target, left.BornMillis
		}
	}
	if own.LeftTarget != "" {
		n.gate.MarkLeft(own.LeftTarget, own.LeftBornMillis, own.LeftRequestMillis)
		n.leftEra.Store(era)
	}
	n.knowsLeft.Store(!n.meter.HasFailed())
	n.log.Info("node: the store tells which target left", "Target", own.LeftTarget, "BornMillis", own.LeftBornMillis, "HasFailed", n.meter.HasFailed())
	return nil
}

// recordLeave records in the store that a target leaves, so that this node
// knows it after a restart. If that fails within recordLeaveTimeout, it goes on in
// the background, and the leave is acknowledged nevertheless: a node that restarts while the
// store is away takes no heartbeat for proof that the target stays.
func (n *Sidecar) recordLeave(ctx context.Context, target string) {
	ctx, cancel := context.WithTimeout(meter.Because(ctx, meter.Leave), recordLeaveTimeout)
	defer cancel()
	err := n.writeLeft(ctx, target)
	if err == nil {
		return
	}
	n.log.Warn("node: recording a leaving target failed", "Target", target, "Error", err.Error())
	if n.recordingLeave.CompareAndSwap(false, true) {
		go func() {
			defer n.recordingLeave.Store(false)
			n.retryWithin(n.requests, maxLeaveRetryDelay, meter.Leave, "recording a leaving target", func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, recordLeaveTimeout)
				defer cancel()
				return n.writeLeft(ctx, n.gate.LastLeft())
			})
		}()
	}
}

// retry repeats calls to the store, which have this reason, with an exponential delay
// until they succeed. Purpose says for logs what they're for.
func (n *Sidecar) retry(ctx context.Context, reason, purpose string, work func(context.Context) error) {
	n.retryWithin(ctx, maxRetryDelay, reason, purpose, work)
}

// retryWithin is retry with another bound on the delay.
func (n *Sidecar) retryWithin(ctx context.Context, maxDelay time.Duration, reason, purpose string, work func(context.Context) error) {
	delay := minRetryDelay
	for lost := false; ctx.Err() == nil; {
		if lost {
			reason = meter.Retry
		}
		err := work(meter.Because(ctx, reason))
		if err == nil {
			if lost {
				n.log.Info("node: store regained", "For", purpose)
			}
			return
		}
		if !lost {
			n.log.Warn("node: store lost", "For", purpose, "Error", err.Error())
		}
		lost = true
		pause.For(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxDelay)
	}
}

// newestPeer returns the card of a random peer with the newest configuration, in the
// node's own data centre if there is one; ok is false if no peer has a newer one than
// this node.
func (n *Sidecar) newestPeer() (peer card.Card, ok bool) {
	newest := n.follow.Version()
	var local, remote []card.Card
	for _, c := range n.mesh.Cards() {
		if c.Version < newest || c.Version == n.follow.Version() {
			continue
		}
		if c.Version > newest {
			newest, local, remote = c.Version, nil, nil
		}
		if c.Centre == n.params.Centre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	switch {
	case len(local) > 0:
		return local[rand.IntN(len(local))], true
	case len(remote) > 0:
		return remote[rand.IntN(len(remote))], true
	}
	return card.Card{}, false
}

// catchUp fetches the configuration from a peer whenever one has a newer
// version.
func (n *Sidecar) catchUp(ctx context.Context) {
	client := &http.Client{Timeout: fetchTimeout}
	// behindMillis is when the node found that it's behind, 0 if it isn't.
	behindMillis, waitMillis := int64(0), int64(0)
	for ctx.Err() == nil {
		pause.For(ctx, versionCheckMillis*time.Millisecond)
		peer, ok := n.newestPeer()
		if !ok {
			behindMillis = 0
			continue
		}
		if behindMillis == 0 {
			behindMillis, waitMillis = n.clock.Now(), localSourceMillis+rand.Int64N(localSourceMillis)
			// In most cases the store is about to send the same change to a watcher.
			if n.Duty().Watches {
				continue
			}
		}
		// Few nodes of a data centre fetch it from another one, and the others from
		// them. A node that has none at all doesn't wait.
		if peer.Centre != n.params.Centre && n.follow.Current() != nil && n.clock.Since(behindMillis) < waitMillis {
			continue
		}
		if err := n.fetchConfig(ctx, client, peer); err != nil {
			n.log.Warn("node: fetching the configuration from a peer failed", "Peer", peer.Peers, "Version", peer.Version, "Error", err.Error())
		}
	}
}

func (n *Sidecar) fetchConfig(ctx context.Context, client *http.Client, peer card.Card) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Peers+configPath, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	response, err := client.Do(request)
	if err != nil {
		client.CloseIdleConnections()
		return errors.Wrap(err, "fetch")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxConfigBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.Errorf("fetch: status %d, %v", response.StatusCode, err)
	}
	if peer.Centre == n.params.Centre {
		n.fetchedLocal.Add(int64(len(content)))
	} else {
		n.fetchedRemote.Add(int64(len(content)))
	}
	return n.follow.Apply(content, "peer "+peer.Peers)
}
