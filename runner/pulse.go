package runner

import (
	"net/http"
	"sync"
	"time"

	"bergamotloom.example/forwrd"
)

// pulse sends interim responses while a request waits, so that the entry
// knows that the connection and the gate are alive.
type pulse struct {
	mutex   sync.Mutex
	writer  http.ResponseWriter
	timer   *time.Timer
	stopped bool
}

func startPulse(w http.ResponseWriter) *pulse {
	p := &pulse{writer: w}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.timer = time.AfterFunc(forwrd.HeartbeatMillis*time.Millisecond, p.beat)
	return p
}

func (p *pulse) beat() {
	p.send(statusProcessing)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.stopped {
		p.timer.Reset(forwrd.HeartbeatMillis * time.Millisecond)
	}
}

// send writes an interim response, unless the final one may have begun.
func (p *pulse) send(status int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.stopped {
		p.writer.WriteHeader(status)
	}
}

// stop ends the interim responses. Only then may the final response begin.
func (p *pulse) stop() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped = true
	p.timer.Stop()
}
