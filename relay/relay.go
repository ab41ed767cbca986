// Package relay is a TCP relay for tests. It forwards connections on loopback
// and can cut, reset, silence, delay or hold them.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const dialTime = 3 * time.Second

// direction is one of the two ways through a connection.
type direction int

// The directions: Up is from the client to the server, Down the other way.
const (
	Up direction = iota
	Down
	directions
)

// action is something that happens to a connection.
type action int

const (
	nothing action = iota
	// Cut closes both ends.
	Cut
	// Reset closes both ends with a TCP reset.
	Reset
	// Silence keeps both ends open for good and forwards nothing any more,
	// not even that an end closed.
	Silence
)

// Relay forwards all connections to one address. It may be used by many
// goroutines. Make it with New and end it with Close.
type Relay struct {
	listener net.Listener
	done     sync.WaitGroup

	mutex    sync.Mutex
	to       string
	links    map[*link]bool
	closed   bool
	accepted int64
	hold     bool
	delay    time.Duration
	limit    [directions]int64
	after    [directions]action
}

// New starts a relay from the listen address, of which port 0 is any free
// port, to another address.
func New(listen, to string) (*Relay, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "relay: listening")
	}
	r := &Relay{listener: listener, to: to, links: make(map[*link]bool)}
	r.done.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// SetTarget sets the address that new connections go to.
func (r *Relay) SetTarget(to string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.to = to
}

func (r *Relay) target() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.to
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	for _, l := range r.all() {
		l.close(false)
	}
	r.done.Wait()
}

// Apply does something to all present connections. New ones aren't affected.
func (r *Relay) Apply(a action) {
	for _, l := range r.all() {
		l.do(a)
	}
}

// ApplyAfter does something to each connection when that many more bytes have
// passed it in the direction, also to connections that are yet to come.
func (r *Relay) ApplyAfter(d direction, bytes int64, a action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limit[d], r.after[d] = bytes, a
	for l := range r.links {
		l.passed[d].Store(0)
	}
}

// ClearApplyAfter takes back what DoAfter arranged.
func (r *Relay) ClearApplyAfter() {
	r.ApplyAfter(Up, 0, nothing)
	r.ApplyAfter(Down, 0, nothing)
}

// Delay makes all bytes arrive later by this time.
func (r *Relay) Delay(d time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.delay = d
}

// SilenceNew makes new connections silent from their start while it's on.
func (r *Relay) SilenceNew(on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.hold = on
}

// Accepted returns how many connections have come so far.
func (r *Relay) Accepted() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.accepted
}

func (r *Relay) all() []*link {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	links := make([]*link, 0, len(r.links))
	for l := range r.links {
		links = append(links, l)
	}
	return links
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.forward(client) })
	}
}

// forward connects the client with the server until both ends are closed.
func (r *Relay) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", r.target(), dialTime) //nolint:noctx // bounded by its timeout
	if err != nil {
		_ = client.Close()
		return
	}
	l := newLink(client, server)
	if !r.add(l) {
		l.close(false)
		return
	}
	l.run(r)
	r.mutex.Lock()
	delete(r.links, l)
	r.mutex.Unlock()
}

func (r *Relay) add(l *link) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.accepted++
	if r.closed {
		return false
	}
	r.links[l] = true
	if r.hold {
		l.silence()
	}
	return true
}

// present returns the delay and what DoAfter arranged for the direction.
func (r *Relay) present(d direction) (time.Duration, int64, action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.delay, r.limit[d], r.after[d]
}
