package sidecr

import (
	"context"
	"net"
	"syscall"
	"time"

	"bergamotloom.example/pause"
)

const (
	// requestPortFraction is the part of the sockets that the port for callers may
	// use, and the one for requests of other nodes. Most of the rest is for the
	// connections that these requests need to other nodes and to the target.
	requestPortFraction = 0.375
	// otherPortFraction is the part of each of the other ports.
	otherPortFraction = 0.03
	// idleHopsDivisor is the divisor of the number of sockets that gives how many
	// idle connections to other nodes are kept.
	idleHopsDivisor = 8
	// reservedDescriptors are kept for files if the limit of the process is the
	// only one that is known.
	reservedDescriptors = 64
	// defaultMaxSockets is used if no limit is known.
	defaultMaxSockets = 1024
	// acceptCheckInterval is the time between two checks whether connections are
	// accepted. The node isn't ready after maxFailedChecks in a row have failed.
	acceptCheckInterval = time.Second
	maxFailedChecks     = 2
)

// maxSockets returns how many sockets the node may use.
func (n *Sidecar) maxSockets() int {
	sockets := n.params.MaxSockets
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		available := int(min(limit.Cur, 1<<20)) - reservedDescriptors
		if sockets == 0 || available < sockets {
			sockets = available
		}
	}
	if sockets <= 0 {
		return defaultMaxSockets
	}
	return sockets
}

// maxOpen returns how many connections may be open at a port.
func (n *Sidecar) maxOpen(port string) int {
	fraction := otherPortFraction
	if port == callersPort || port == hopsPort {
		fraction = requestPortFraction
	}
	return max(int(fraction*float64(n.maxSockets())), 1)
}

// checkAccepting checks in intervals that the port for callers accepts connections,
// until the context ends. It opens one itself if callers opened none.
func (n *Sidecar) checkAccepting(ctx context.Context) {
	failedChecks := 0
	for n.accepting.Store(true); ctx.Err() == nil; {
		_, before, _ := n.ports[callersPort].Counts()
		pause.For(ctx, acceptCheckInterval)
		if n.acceptedSince(before) || n.acceptsOwn(ctx, before) || ctx.Err() != nil {
			failedChecks = 0
		} else {
			failedChecks++
		}
		accepting := failedChecks < maxFailedChecks
		if n.accepting.Swap(accepting) != accepting {
			open, accepted, failed := n.ports[callersPort].Counts()
			n.log.Warn("node: whether connections are accepted changed", "Accepting", accepting, "Port", callersPort,
				"Open", open, "Accepted", accepted, "Errors", failed, "Waiting", n.ports[callersPort].Waiting())
		}
	}
}

func (n *Sidecar) acceptedSince(before int64) bool {
	_, accepted, _ := n.ports[callersPort].Counts()
	return accepted != before
}

// acceptsOwn reports whether a connection is accepted within acceptCheckInterval
// after this node has opened one to its own port.
func (n *Sidecar) acceptsOwn(ctx context.Context, before int64) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptCheckInterval)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", n.params.Callers)
	if err != nil {
		return n.acceptedSince(before)
	}
	defer func() { _ = c.Close() }()
	for ctx.Err() == nil {
		if n.acceptedSince(before) {
			return true
		}
		pause.For(ctx, pollInterval)
	}
	return n.acceptedSince(before)
}
