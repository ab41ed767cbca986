// Package relay is a TCP relay for tests. It forwards connections on loopback
// and can cut, reset, silence or delay them.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const dialTimeout = 3 * time.Second

// direction is one of the two directions of a connection.
type direction int

// Up is from the client to the server, Down from the server to the client.
const (
	Up direction = iota
	Down
	directions
)

// action is what the relay can do to a connection.
type action int

const (
	noAction action = iota
	// Cut closes both ends.
	Cut
	// Reset closes both ends with a TCP reset.
	Reset
	// Silence keeps both ends open but permanently stops forwarding. If one end
	// closes, the close isn't forwarded to the other one.
	Silence
)

// Relay forwards all connections to one address. It's safe for concurrent use.
// Make it with New and end it with Close.
type Relay struct {
	listener net.Listener
	tasks    sync.WaitGroup

	mutex         sync.Mutex
	serverAddress string
	links         map[*link]bool
	closed        bool
	accepted      int64
	silenceNew    bool
	delay         time.Duration
	// limitActions[d] is applied to a connection when limitBytes[d] bytes have
	// passed it in direction d.
	limitBytes   [directions]int64
	limitActions [directions]action
}

// New starts a relay from the listen address to the server address. Port 0 in
// the listen address means any free port. It returns an error if it can't
// listen.
func New(listenAddress, serverAddress string) (*Relay, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", listenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "relay: listening")
	}
	r := &Relay{listener: listener, serverAddress: serverAddress, links: make(map[*link]bool)}
	r.tasks.Go(r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// SetServer sets the address that new connections go to.
func (r *Relay) SetServer(address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.serverAddress = address
}

func (r *Relay) server() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.serverAddress
}

// Close closes the listener and all connections, and waits until forwarding has
// ended.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	for _, l := range r.allLinks() {
		l.close(false)
	}
	r.tasks.Wait()
}

// Apply applies the action to all open connections, but not to new ones.
func (r *Relay) Apply(a action) {
	for _, l := range r.allLinks() {
		l.apply(a)
	}
}

// ApplyAfter applies the action to each connection, open or new, when the given
// number of further bytes has passed it in the direction.
func (r *Relay) ApplyAfter(d direction, bytes int64, a action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limitBytes[d], r.limitActions[d] = bytes, a
	for l := range r.links {
		l.passedBytes[d].Store(0)
	}
}

// ClearApplyAfter cancels the actions that ApplyAfter set.
func (r *Relay) ClearApplyAfter() {
	r.ApplyAfter(Up, 0, noAction)
	r.ApplyAfter(Down, 0, noAction)
}

// Delay delays all bytes by this time.
func (r *Relay) Delay(d time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.delay = d
}

// SilenceNew makes new connections silent from their start while it's on.
func (r *Relay) SilenceNew(on bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.silenceNew = on
}

// Accepted returns how many connections the relay has accepted so far, without
// those for which it couldn't reach the server.
func (r *Relay) Accepted() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.accepted
}

func (r *Relay) allLinks() []*link {
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
		r.tasks.Go(func() { r.forward(client) })
	}
}

// forward connects the client with the server until both ends are closed.
func (r *Relay) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", r.server(), dialTimeout) //nolint:noctx // bounded by its timeout
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
	if r.silenceNew {
		l.silence()
	}
	return true
}

// settings returns the delay, and the limit in bytes and the action of
// ApplyAfter for the direction.
func (r *Relay) settings(d direction) (time.Duration, int64, action) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.delay, r.limitBytes[d], r.limitActions[d]
}
