package runner

import (
	"net/http"
	"sync"
	"time"

	"bergamotloom.example/forwrd"
)

// interimSender sends the heartbeats of the gate to the entry: interim responses
// every forwrd.HeartbeatMillis until the final response begins, so that the
// entry knows that the connection and the gate are alive.
type interimSender struct {
	mutex   sync.Mutex
	writer  http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func startInterimSender(w http.ResponseWriter) *interimSender {
	s := &interimSender{writer: w}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.timer = time.AfterFunc(forwrd.HeartbeatMillis*time.Millisecond, s.tick)
	return s
}

func (s *interimSender) tick() {
	s.send(statusHeartbeat)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.stopped {
		s.timer.Reset(forwrd.HeartbeatMillis * time.Millisecond)
	}
}

// send writes an interim response, unless the final one may have begun.
func (s *interimSender) send(status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.stopped {
		s.writer.WriteHeader(status)
	}
}

// stop ends the interim responses. Only then may the final response begin.
func (s *interimSender) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	s.timer.Stop()
}
