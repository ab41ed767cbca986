package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/platform"
)

var names = platform.Dialect()

const (
	// idleTimeout is how long a server keeps an idle connection.
	idleTimeout = 10 * time.Second
	// startTimeout is how long a node may take to serve requests.
	startTimeout = 10 * time.Second
)

// server is an application server that handles its connections itself.
type server struct {
	id, service string
	node        *node
	record      *record
	// handle serves one request, whose body it may read, and reports whether the
	// connection may be used again.
	handle   func(c net.Conn, r *http.Request) bool
	listener net.Listener
	born     int64
	sequence atomic.Int64
	state    atomic.Value
	done     chan struct{}
	mutex    sync.Mutex
	open     map[net.Conn]bool
	runs     map[string]int
}

// startServer starts a server beside the node. Its heartbeats begin with startBeats.
func startServer(n *node, id, service string, handle func(s *server, c net.Conn, r *http.Request) bool) (*server, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", n.app)
	if err != nil {
		return nil, errors.Wrap(err, "server")
	}
	s := &server{id: id, service: service, node: n, record: n.bed.record, listener: l, born: time.Now().UnixMilli(), done: make(chan struct{}), open: make(map[net.Conn]bool), runs: make(map[string]int)}
	s.handle = func(c net.Conn, r *http.Request) bool { return handle(s, c, r) }
	s.state.Store("ready")
	s.record.line("server %s: started at %d beside %s", id, s.born, n.name)
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.open[c] = true
		s.mutex.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.mutex.Lock()
		delete(s.open, c)
		s.mutex.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if want := r.Header.Get(names.ExpectedTarget); want != "" && want != s.id {
			_, _ = io.Copy(io.Discard, r.Body)
			s.respond(c, r, http.StatusMisdirectedRequest, nil)
			s.record.line("server %s: %s gets status 421", s.id, r.Header.Get(names.RequestID))
			continue
		}
		if !s.handle(c, r) {
			return
		}
	}
}

// respond writes a response with a length. Signed is the body of a request that ran; it's
// nil if the request didn't run.
func (s *server) respond(w io.Writer, r *http.Request, status int, signed []byte) {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), names.RequestID, r.Header.Get(names.RequestID))
	if signed != nil {
		fmt.Fprintf(&head, "%s: %s.%s\r\n", names.Signature, s.id, r.Header.Get(names.RequestID))
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(signed))
	_, _ = w.Write(append([]byte(head.String()), signed...))
}

// ran counts a run of a request, and returns how often it ran here so far.
func (s *server) ran(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[id]++
	return s.runs[id]
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	return s.sendBeat(s.nextBeat())
}

func (s *server) nextBeat() string {
	state, _ := s.state.Load().(string)
	return fmt.Sprintf(beatFormat, s.node.app, s.born, s.service, state, s.sequence.Add(1))
}

// beatFormat is a heartbeat as on the pages.
const beatFormat = `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z1","slots":60},"status":{"state":%q,"sequence":%d,"cold_remaining":"0ms"}}`

func (s *server) sendBeat(content string) bool {
	status, err := call(http.MethodPut, "http://"+s.node.control+platform.HeartbeatPath+s.id, content, http.Header{"Content-Type": {"application/json"}})
	return err == nil && status == http.StatusOK
}

// startBeats sends heartbeats until the server stops.
func (s *server) startBeats() {
	go func() {
		for {
			s.beat()
			select {
			case <-s.done:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

// leave sends the notice with which a server leaves, and reports whether it was
// acknowledged.
func (s *server) leave() bool {
	status, err := call(http.MethodDelete, "http://"+s.node.control+platform.HeartbeatPath+s.id, "", nil)
	return err == nil && status == http.StatusOK
}

// stopBeats ends the heartbeats, as before the end of a server.
func (s *server) stopBeats() {
	close(s.done)
}

// exit ends the server and its connections.
func (s *server) exit() {
	_ = s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
	s.record.line("server %s: exited", s.id)
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, signed %t, %d bytes", a.status, a.signed, len(a.body))
}

// request sends a client's request on a new connection. Send writes the body after the
// head; the answer is read meanwhile.
func request(n *node, method, path, id string, deadline time.Duration, bodyHead string, send func(w io.Writer)) answer {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", n.outbound)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s\r\n",
		method, path, siteHost, names.RequestID, id, names.RemainingMillis, strconv.FormatInt(deadline.Milliseconds(), 10), apiKey, bodyHead)
	if _, err := io.WriteString(c, head); err != nil {
		return answer{err: err}
	}
	if send != nil {
		go send(c)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get(names.Signature) != "", body, err}
}

// waitServing waits until the node is ready and serves a request on this path.
func (n *node) waitServing(path string) error {
	return waitFor(startTimeout, n.name+" is ready and serves "+path, func() bool {
		return n.isReady() && request(n, http.MethodGet, path, "warm", time.Second, "", nil).status == http.StatusOK
	})
}
