package target

import (
	"context"
	"sync"
)

// slots limits the requests that run at once. Further ones wait in a FIFO queue.
type slots struct {
	mutex   sync.Mutex
	running int
	waiting []chan struct{}
}

// acquire takes a slot, or waits for one if all are in use. It returns false if
// the backlog is full or ctx ends first.
func (s *slots) acquire(ctx context.Context, limit, backlog int) bool {
	s.mutex.Lock()
	if s.running < limit {
		s.running++
		s.mutex.Unlock()
		return true
	}
	if len(s.waiting) >= backlog {
		s.mutex.Unlock()
		return false
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.mutex.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return s.cancelWait(granted)
	}
}

// cancelWait leaves the queue. It returns true if the slot was granted just
// before, so that the caller has to release it.
func (s *slots) cancelWait(granted chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, w := range s.waiting {
		if w == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// release grants the slot to the first waiting request, if there is one, or
// frees it.
func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// load returns how many requests run and how many wait.
func (s *slots) load() (running, waiting int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting)
}
