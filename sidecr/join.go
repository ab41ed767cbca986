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
	"bergamotloom.example/pause"
)

const (
	// nodesTable lists the nodes by the addresses at which peers reach them.
	nodesTable = "Nodes"
	// leftTable holds the target that left last beside each node, by the node's
	// address.
	leftTable  = "Left"
	configPath = "/loom/config"
	// joinPause to mostJoinPause pass between two tries to reach the store.
	joinPause     = 150 * time.Millisecond
	mostJoinPause = 2 * time.Second
	// settlePause after which the nodes are read once more: the others have
	// started meanwhile.
	settlePause = 1500 * time.Millisecond
	// rereadPause passes between two looks whether the fleet is still heard.
	rereadPause = 15 * time.Second
	// keepWait bounds how long a leaving target waits for its acknowledgement
	// while the store is asked to remember it.
	keepWait = 600 * time.Millisecond
	// watchers is how many nodes hold a call to the store; some of them may be
	// turned away by it.
	watchers = 16
	// behindMillis is how often peers' versions are compared.
	behindMillis = 100
	fetchTimeout = time.Second
	configBytes  = 8 << 20
)

// join writes the node into the store and reads who else is there.
func (n *Sidecar) join(ctx context.Context) {
	n.addSeeds()
	n.retry(ctx, "the node's row", func() error { return n.writeNode(ctx) })
	if !n.siting.FirstStart {
		n.retry(ctx, "the target that left", func() error { return n.readLeft(ctx) })
	}
	n.retry(ctx, "the nodes", func() error { return n.readNodes(ctx) })
	pause.For(ctx, settlePause)
	n.retry(ctx, "the nodes", func() error { return n.readNodes(ctx) })
	renewAt := n.clock.Now() + renewMillis + rand.Int64N(renewMillis)
	for ctx.Err() == nil {
		pause.For(ctx, rereadPause+rand.N(rereadPause))
		if n.clock.Now() >= renewAt {
			renewAt = n.clock.Now() + renewMillis + rand.Int64N(renewMillis)
			n.retry(ctx, "the node's row", func() error { return n.writeNode(ctx) })
			if n.watches() {
				n.retry(ctx, "rows of nodes that have gone", func() error { return n.removeStale(ctx) })
			}
		}
		if known, heard := n.mesh.PeerCounts(); heard*2 < known {
			n.retry(ctx, "the nodes", func() error { return n.readNodes(ctx) })
		}
	}
}

// addSeeds makes the seeds known. They're given by their control ports; all
// nodes of a fleet have the same ports.
func (n *Sidecar) addSeeds() {
	_, port, err := net.SplitHostPort(n.siting.Peers)
	if err != nil {
		n.log.Error("node: no seeds", "Error", err.Error())
		return
	}
	for _, seed := range n.siting.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			n.log.Warn("node: bad seed", "Address", seed, "Error", err.Error())
			continue
		}
		n.mesh.Add(net.JoinHostPort(host, port))
	}
}

func (n *Sidecar) readNodes(ctx context.Context) error {
	rows, _, err := n.store.Rows(ctx, nodesTable)
	for _, r := range rows {
		n.mesh.Add(r.Key)
	}
	return err
}

func (n *Sidecar) readLeft(ctx context.Context) error {
	rows, _, err := n.store.Rows(ctx, leftTable)
	for _, r := range rows {
		if r.Key != n.siting.Peers {
			continue
		}
		var row leftRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			n.log.Warn("node: the row of the target that left can't be read", "Row", string(r.Value), "Error", err.Error())
			continue
		}
		n.gate.MarkLeft(row.Target, row.BornMillis)
	}
	return err
}

// keepLeave lets the store remember that a target has left, so that this node
// knows it after a restart too.
func (n *Sidecar) keepLeave(ctx context.Context, target string) {
	ctx, cancel := context.WithTimeout(ctx, keepWait)
	defer cancel()
	if err := n.store.Put(ctx, leftTable, n.siting.Peers, mustJSON(leftRow{target, n.gate.StartMillis(target)})); err != nil {
		n.log.Warn("node: the store doesn't remember a target that leaves", "Target", target, "Error", err.Error())
	}
}

// retry repeats work until it succeeds, ever less often.
func (n *Sidecar) retry(ctx context.Context, what string, work func() error) {
	wait := joinPause
	for lost := false; ctx.Err() == nil; {
		err := work()
		if err == nil {
			if lost {
				n.log.Info("node: store regained", "For", what)
			}
			return
		}
		if !lost {
			n.log.Warn("node: store lost", "For", what, "Error", err.Error())
		}
		lost = true
		pause.For(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, mostJoinPause)
	}
}

// watches tells whether this node is one of the few that hold a call to the
// store: it is by the order of the addresses' hashes, or if it hardly hears
// of others.
func (n *Sidecar) watches() bool {
	known, heard := n.mesh.PeerCounts()
	if known < watchers || heard*2 < known {
		return true
	}
	own := card.Hash(n.siting.Peers)
	before := 0
	for _, c := range n.mesh.Cards() {
		if card.Hash(c.Peers) < own {
			before++
		}
	}
	return before < watchers
}

// ahead returns a random peer of those with the newest configuration, if that's
// newer than the own one.
func (n *Sidecar) ahead() (peer string, newest int64) {
	newest = n.follow.Version()
	var peers []string
	for _, c := range n.mesh.Cards() {
		switch {
		case c.Version > newest:
			newest, peers = c.Version, []string{c.Peers}
		case c.Version == newest && len(peers) > 0:
			peers = append(peers, c.Peers)
		}
	}
	if len(peers) == 0 {
		return "", newest
	}
	return peers[rand.IntN(len(peers))], newest
}

// catchUp fetches the configuration from a peer that has a newer one.
func (n *Sidecar) catchUp(ctx context.Context) {
	client := &http.Client{Timeout: fetchTimeout}
	behind := 0
	for ctx.Err() == nil {
		pause.For(ctx, behindMillis*time.Millisecond)
		peer, newest := n.ahead()
		if peer == "" {
			behind = 0
			continue
		}
		// The store's own word is about to come, in most cases.
		if behind++; behind < 2 && n.watches() {
			continue
		}
		if err := n.fetch(ctx, client, peer); err != nil {
			n.log.Warn("node: no configuration from a peer", "Peer", peer, "Version", newest, "Error", err.Error())
		}
	}
}

func (n *Sidecar) fetch(ctx context.Context, client *http.Client, peer string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+configPath, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	answer, err := client.Do(request)
	if err != nil {
		client.CloseIdleConnections()
		return errors.Wrap(err, "fetch")
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, configBytes))
	if err != nil || answer.StatusCode != http.StatusOK {
		return errors.Errorf("fetch: status %d, %v", answer.StatusCode, err)
	}
	return n.follow.Take(content, "peer "+peer)
}
