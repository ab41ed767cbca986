package runner

import (
	"net/http"
	"sync"
	"time"

	"bergamotloom.example/passer"
)

// heartbeat sends interim responses while a request waits, so that the entry
// knows that the connection and the gate are alive.
type heartbeat struct {
	mutex   sync.Mutex
	writer  http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func startHeartbeat(w http.ResponseWriter) *heartbeat {
	h := &heartbeat{writer: w}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.timer = time.AfterFunc(passer.HeartbeatMillis*time.Millisecond, h.tick)
	return h
}

func (h *heartbeat) tick() {
	h.send(statusAlive)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.stopped {
		h.timer.Reset(passer.HeartbeatMillis * time.Millisecond)
	}
}

// send writes an interim response, unless the final one may have begun.
func (h *heartbeat) send(status int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.stopped {
		h.writer.WriteHeader(status)
	}
}

// stop ends the interim responses. Only then may the final response begin.
func (h *heartbeat) stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopped = true
	h.timer.Stop()
}
