package target

import (
	"context"
	"sync"
)

// slots lets a number of requests run at once and a few more wait in order.
type slots struct {
	mutex   sync.Mutex
	running int
	waiting []chan struct{}
}

// enter takes a slot, waiting for one in the backlog if need be. It tells
// whether it got one: not so if the backlog is full or ctx ended before.
func (s *slots) enter(ctx context.Context, size, backlog int) bool {
	s.mutex.Lock()
	if s.running < size {
		s.running++
		s.mutex.Unlock()
		return true
	}
	if len(s.waiting) >= backlog {
		s.mutex.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mutex.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return s.giveUp(turn)
	}
}

// giveUp leaves the backlog. It returns true if the slot was handed over in
// that very moment.
func (s *slots) giveUp(turn chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return false
		}
	}
	return true
}

// leave gives the slot to the first one that waits, or back.
func (s *slots) leave() {
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
