// Package queue lets a bounded number of requests run at a target and keeps the
// others in the order in which they're due.
package queue

import (
	"container/heap"
	"context"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/reason"
)

// Queue is the waiting line of one gate. It's safe for many goroutines.
type Queue struct {
	mutex   sync.Mutex
	clock   clock.Clock
	limit   int
	open    bool
	running int
	waiting line
	serial  int64
	// runMillis is how long a run takes at least that is worth starting.
	runMillis float64
}

// New returns a closed queue, which refuses all requests.
func New(c clock.Clock) *Queue {
	return &Queue{clock: c}
}

// waiter is a request that waits.
type waiter struct {
	// order is when the request should have begun; the lowest one is next.
	order  float64
	serial int64
	due    float64
	begin  func(reason.Reason)
	at     int
}

// Acquire waits until the request may run. The request with the lowest order
// goes first; one that couldn't end before due is refused. The reason is empty
// if the request may run: then Leave must be called when it has ended.
func (q *Queue) Acquire(ctx context.Context, order, due float64) reason.Reason {
	begun := make(chan reason.Reason, 1)
	w, r := q.offer(order, due, func(r reason.Reason) { begun <- r })
	if w == nil {
		return r
	}
	select {
	case r := <-begun:
		return r
	case <-ctx.Done():
		return q.giveUp(w, begun)
	}
}

// AcquireAsync is Enter for those who can't wait. If the request waits, begin is called
// once with the outcome, later and with the queue locked.
func (q *Queue) AcquireAsync(order, due float64, begin func(reason.Reason)) (r reason.Reason, waits bool) {
	w, r := q.offer(order, due, begin)
	return r, w != nil
}

func (q *Queue) offer(order, due float64, begin func(reason.Reason)) (*waiter, reason.Reason) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.open {
		return nil, reason.Leaving
	}
	if q.running < q.limit && len(q.waiting) == 0 {
		q.running++
		return nil, ""
	}
	if q.clock.Fine()+q.waitMillis(order)+q.runMillis > due {
		return nil, reason.Overloaded
	}
	q.serial++
	w := &waiter{order: order, serial: q.serial, due: due, begin: begin}
	heap.Push(&q.waiting, w)
	return w, ""
}

// waitMillis estimates how long a request with this order would wait.
func (q *Queue) waitMillis(order float64) float64 {
	if q.limit <= 0 {
		return 0
	}
	ahead := 0
	for _, w := range q.waiting {
		if w.order <= order {
			ahead++
		}
	}
	return float64(ahead) * q.runMillis / float64(q.limit)
}

func (q *Queue) giveUp(w *waiter, begun <-chan reason.Reason) reason.Reason {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if w.at >= 0 {
		heap.Remove(&q.waiting, w.at)
		return reason.Cancelled
	}
	if r := <-begun; r != "" {
		return r
	}
	// It was let in at the moment when its caller left.
	q.running--
	q.next()
	return reason.Cancelled
}

// Release notes the end of a run.
func (q *Queue) Release() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.running--
	q.next()
}

// SetLimit sets how many requests may run at once, and how long a run takes,
// in milliseconds. Those that wait in vain are refused.
func (q *Queue) SetLimit(limit int, runMillis float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limit, q.runMillis = limit, runMillis
	q.expire()
	q.next()
}

// expire refuses those that have become too late, also while no run ends: the
// target may hang. The mutex is held.
func (q *Queue) expire() {
	now := q.clock.Fine()
	var late line
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if q.tooLate(w, now) {
			w.at = -1
			late = append(late, w)
			continue
		}
		w.at = len(kept)
		kept = append(kept, w)
	}
	if len(late) == 0 {
		return
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	heap.Init(&q.waiting)
	for _, w := range late {
		w.begin(reason.Overloaded)
	}
}

// tooLate tells whether a request that begins now isn't expected to end in time.
func (q *Queue) tooLate(w *waiter, now float64) bool {
	return now+q.runMillis/2 > w.due
}

// Open lets requests in.
func (q *Queue) Open() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.open = true
	q.next()
}

// Close refuses those that wait and all that come.
func (q *Queue) Close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.open = false
	for len(q.waiting) > 0 {
		q.pop().begin(reason.Leaving)
	}
}

// Load returns how many requests run and how many wait.
func (q *Queue) Load() (running, waiting int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.running, len(q.waiting)
}

// next starts those that may run. The mutex is held.
func (q *Queue) next() {
	now := q.clock.Fine()
	for q.open && q.running < q.limit && len(q.waiting) > 0 {
		w := q.pop()
		if q.tooLate(w, now) {
			w.begin(reason.Overloaded)
			continue
		}
		q.running++
		w.begin("")
	}
}

func (q *Queue) pop() *waiter {
	w, ok := heap.Pop(&q.waiting).(*waiter)
	if !ok {
		panic("queue: the line holds something else than waiters")
	}
	return w
}

// line is a heap of waiters.
type line []*waiter

func (l line) Len() int { return len(l) }

func (l line) Less(i, j int) bool {
	if l[i].order != l[j].order {
		return l[i].order < l[j].order
	}
	return l[i].serial < l[j].serial
}

func (l line) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].at, l[j].at = i, j
}

func (l *line) Push(v any) {
	w, ok := v.(*waiter)
	if !ok {
		panic("queue: only waiters wait")
	}
	w.at = len(*l)
	*l = append(*l, w)
}

func (l *line) Pop() any {
	old := *l
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	w.at = -1
	return w
}
