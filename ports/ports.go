// Package ports hands out loopback ports to programs that have to name their ports
// before they listen on them, such as tests with several processes.
//
// Each holder has a block of ports of its own and listens on its first port, so
// that programs which run at the same time never get the same ports.
package ports

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	host = "127.0.0.1"
	// Blocks are below the usual range for outgoing connections (32768 and up),
	// which could take a port between its selection and its use.
	firstPort  = 12_000
	blockPorts = 500
	blockCount = 36
)

// Ports hands out the ports of one block. It's safe for concurrent use.
type Ports struct {
	guard net.Listener
	first int
	mutex sync.Mutex
	// next is the offset in the block of the port that is tried next.
	next int
}

// New holds a block that no other program holds. It returns an error if there is
// none. Close releases the block.
func New() (*Ports, error) {
	for _, block := range rand.Perm(blockCount) {
		first := firstPort + block*blockPorts
		guard, err := listen(first)
		if err == nil {
			return &Ports{guard: guard, first: first}, nil
		}
	}
	return nil, errors.Errorf("ports: all %d blocks of %d ports from %d on are in use", blockCount, blockPorts, firstPort)
}

// Next returns the address (host:port) of the next port of the block on which
// nobody listens, neither by TCP nor by UDP. Ports are handed out again once all
// others were. It returns an error if all ports are in use.
func (p *Ports) Next() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range blockPorts {
		port := p.first + 1 + p.next
		p.next = (p.next + 1) % (blockPorts - 1)
		if isFree(port) {
			return address(port), nil
		}
	}
	return "", errors.Errorf("ports: all ports from %d to %d are in use", p.first+1, p.first+blockPorts-1)
}

// Close releases the block. Ports that were handed out shouldn't be used any more.
func (p *Ports) Close() error {
	return errors.Wrap(p.guard.Close(), "ports")
}

func isFree(port int) bool {
	l, err := listen(port)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := new(net.ListenConfig).ListenPacket(context.Background(), "udp", address(port))
	if err != nil {
		return false
	}
	return c.Close() == nil
}

func listen(port int) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", address(port))
}

func address(port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}
