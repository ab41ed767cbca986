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
	"bergamotloom.example/meter"
	"bergamotloom.example/pause"
)

const (
	// nodesTable holds a row for each node, by the address that peers use.
	nodesTable = "Nodes"
	// leftTable holds, by the node's address, the node's last target that ended
	// as planned.
	leftTable  = "Left"
	configPath = "/loom/config"
	// minRetryDelay and maxRetryDelay bound the delay between two attempts to
	// reach the store.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// settleDelay is the delay after which the nodes are read a second time, as
	// others may have started in the meantime.
	settleDelay = 1500 * time.Millisecond
	// peerCheckInterval is the min time between two checks whether most peers
	// are silent; the max is twice that.
	peerCheckInterval = 15 * time.Second
	// recordLeaveTimeout bounds how long a leaving target waits for its
	// acknowledgement while the store records that it leaves.
	recordLeaveTimeout = 600 * time.Millisecond
	// watcherCount is the number of nodes that long-poll the store for changes.
	// The store may refuse some of these calls.
	watcherCount = 16
	// versionCheckMillis is the time between two comparisons with the peers'
	// configuration versions.
	versionCheckMillis = 100
	// fetchTimeout and maxConfigBytes limit the fetch of a configuration from a
	// peer.
	fetchTimeout   = time.Second
	maxConfigBytes = 8 << 20
)

// runMembership writes the node's row to the store and reads the other nodes
// from it. Then it renews the row, removes stale ones, and reads the nodes
// again if most peers are silent, until the context ends.
func (n *Sidecar) runMembership(ctx context.Context) {
	n.addSeeds()
	n.retry(ctx, meter.Start, "writing the node's row", n.writeNode)
	// Before a restart, the target may have announced that it leaves.
	if !n.params.FirstStart {
		n.retry(ctx, meter.Start, "reading the target that left", n.readLeft)
		n.hasReadLeft.Store(true)
	}
	n.retry(ctx, meter.Start, "reading the nodes", n.readNodes)
	pause.For(ctx, settleDelay)
	n.retry(ctx, meter.Start, "reading the nodes", n.readNodes)
	renewAt := n.clock.Now() + renewMillis + rand.Int64N(renewMillis)
	for ctx.Err() == nil {
		pause.For(ctx, peerCheckInterval+rand.N(peerCheckInterval))
		if n.clock.Now() >= renewAt {
			renewAt = n.clock.Now() + renewMillis + rand.Int64N(renewMillis)
			n.retry(ctx, meter.Renewal, "writing the node's row", n.writeNode)
			if n.isWatcher() {
				n.retry(ctx, meter.Removal, "removing stale rows", n.removeStale)
				n.retry(ctx, meter.Removal, "removing stale rows", n.removeExpiredCrashes)
			}
		}
		if peers, live := n.mesh.PeerCounts(); live*2 < peers {
			n.retry(ctx, meter.Silence, "reading the nodes", n.readNodes)
		}
	}
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

// readNodes adds the nodes in the store to the mesh. It writes this node's own row
// again if it's gone.
func (n *Sidecar) readNodes(ctx context.Context) error {
	rows, _, err := n.store.Rows(ctx, nodesTable)
	if err != nil {
		return err
	}
	hasOwn := false
	for _, r := range rows {
		n.mesh.Add(r.Key)
		hasOwn = hasOwn || r.Key == n.params.Peers
	}
	if hasOwn {
		return nil
	}
	return n.writeNode(ctx)
}

func (n *Sidecar) readLeft(ctx context.Context) error {
	rows, at, err := n.store.Rows(ctx, leftTable)
	for _, r := range rows {
		if r.Key != n.params.Peers {
			continue
		}
		var row leftRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.Warn("node: the row of the target that left is malformed", "Row", string(r.Value), "Error", err.Error())
			continue
		}
		n.gate.MarkLeft(row.Target, row.BornMillis)
		n.leftEra.Store(at.Era)
	}
	return err
}

// recordLeave records in the store that a target leaves, so that this node
// knows it after a restart. If that fails within recordLeaveTimeout, it goes on in
// the background.
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
			n.retry(n.requests, meter.Leave, "recording a leaving target", func(ctx context.Context) error { return n.writeLeft(ctx, n.gate.LastLeft()) })
		}()
	}
}

// writeLeft writes the row of the target that left, unless another one has left
// since.
func (n *Sidecar) writeLeft(ctx context.Context, target string) error {
	if n.gate.LastLeft() != target || target == "" {
		return nil
	}
	era, err := n.store.Put(ctx, leftTable, n.params.Peers, encodeRow(leftRow{target, n.gate.StartMillis(target)}))
	if err != nil {
		return err
	}
	if before := n.leftEra.Swap(era); before >= 0 && before != era {
		n.countRewritten(leftTable, n.params.Peers)
	}
	return nil
}

// retry repeats calls to the store, which have this reason, with an exponential delay
// until they succeed. Purpose says for logs what they're for.
func (n *Sidecar) retry(ctx context.Context, reason, purpose string, work func(context.Context) error) {
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
		delay = min(2*delay, maxRetryDelay)
	}
}

// isWatcher reports whether this node long-polls the store for changes. It's
// true for the nodes with the lowest address hashes, and for each node to which
// more than half of its peers are silent.
func (n *Sidecar) isWatcher() bool {
	peers, live := n.mesh.PeerCounts()
	if peers < watcherCount || live*2 < peers {
		return true
	}
	own := card.Hash(n.params.Peers)
	lower := 0
	for _, c := range n.mesh.Cards() {
		if card.Hash(c.Peers) < own {
			lower++
		}
	}
	return lower < watcherCount
}

// newestPeer returns the card of a random peer with the newest configuration; ok is
// false if no peer has a newer one than this node.
func (n *Sidecar) newestPeer() (peer card.Card, ok bool) {
	newest := n.follow.Version()
	var peers []card.Card
	for _, c := range n.mesh.Cards() {
		switch {
		case c.Version > newest:
			newest, peers = c.Version, []card.Card{c}
		case c.Version == newest && len(peers) > 0:
			peers = append(peers, c)
		}
	}
	if len(peers) == 0 {
		return card.Card{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// catchUp fetches the configuration from a peer whenever one has a newer
// version.
func (n *Sidecar) catchUp(ctx context.Context) {
	client := &http.Client{Timeout: fetchTimeout}
	checksBehind := 0
	for ctx.Err() == nil {
		pause.For(ctx, versionCheckMillis*time.Millisecond)
		peer, ok := n.newestPeer()
		if !ok {
			checksBehind = 0
			continue
		}
		// A watcher waits for one more check, as in most cases the store is
		// about to send the same change.
		if checksBehind++; checksBehind < 2 && n.isWatcher() {
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
