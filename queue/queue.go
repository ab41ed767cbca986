// Package queue limits how many requests run at a target at once and, while the
// target names a rate limit, how many start per second. Further requests wait and
// start in the order of the start times that their callers pass, the earliest
// first.
package queue

import (
	"container/heap"
	"context"
	"sync"

	"bergamotloom.example/clock"
	"bergamotloom.example/reason"
)

const (
	millisPerSecond = 1000
	// burstMillis is the time whose requests may start at once after a pause,
	// under a rate limit.
	burstMillis = 500
	// limitedWaitFraction is the fraction of the time left that a request may
	// wait while there is a rate limit. The rest is for another target, or for
	// the caller to use the refusal.
	limitedWaitFraction = 1.0 / 3
)

// Queue is the request queue of one gate. It's safe for concurrent use.
type Queue struct {
	mutex        sync.Mutex
	clock        clock.Clock
	limit        int
	open         bool
	running      int
	waiting      waiterHeap
	lastSequence int64
	// runMillis is the estimated run time of a request.
	runMillis float64
	// maxRunning also limits the running requests, unless it's 0.
	maxRunning int
	// ratePerMilli is the rate limit in requests per millisecond, 0 if there is
	// none. Each start takes one of the tokens, which were last filled at
	// filledMillis.
	ratePerMilli float64
	tokens       float64
	filledMillis float64
	// refusedForRate counts the requests that were refused because of the rate
	// limit, waitedForRate those that started after they had waited for a token.
	refusedForRate int64
	waitedForRate  int64
}

// New returns a closed queue: it refuses all requests until Open is called.
func New(c clock.Clock) *Queue {
	return &Queue{clock: c}
}

// waiter is a queued request.
type waiter struct {
	// startMillis is the scheduled start time; the lowest one is next. Both times
	// are in milliseconds of the clock.
	startMillis    float64
	deadlineMillis float64
	// latestStartMillis is until when the request may wait under a rate limit.
	latestStartMillis float64
	// waitsForToken says that there was a free slot but no token for the request.
	waitsForToken bool
	// sequence keeps requests of the same start time first in, first out.
	sequence int64
	// notify is called with the outcome; an empty reason starts the request.
	notify func(reason.Reason)
	// index is the position in the heap, or -1 once removed.
	index int
}

// Acquire waits until the request may run. The request with the lowest
// startMillis goes first. A request that would have to wait is refused if it isn't
// expected to end before its deadline; one that finds a free slot and no queue
// always starts. StartMillis and deadlineMillis are moments of the queue's clock.
// The reason is empty if the request may run; then Release must be called when
// the run has ended. Otherwise it's Overloaded, Leaving if the queue is closed, or
// Cancelled if ctx ended first.
func (q *Queue) Acquire(ctx context.Context, startMillis, deadlineMillis float64) reason.Reason {
	outcome := make(chan reason.Reason, 1)
	w, r := q.enqueue(startMillis, deadlineMillis, func(r reason.Reason) { outcome <- r })
	if w == nil {
		return r
	}
	select {
	case r := <-outcome:
		return r
	case <-ctx.Done():
		return q.cancel(w, outcome)
	}
}

// AcquireAsync is Acquire without blocking. If queued is false, r is the outcome,
// as from Acquire. If it's true, r is empty and notify is called once with the
// outcome later, while the queue is locked, so it must not call the queue.
func (q *Queue) AcquireAsync(startMillis, deadlineMillis float64, notify func(reason.Reason)) (r reason.Reason, queued bool) {
	w, r := q.enqueue(startMillis, deadlineMillis, notify)
	return r, w != nil
}

// enqueue starts, refuses or queues a request. It returns a waiter only if the
// request is queued.
func (q *Queue) enqueue(startMillis, deadlineMillis float64, notify func(reason.Reason)) (*waiter, reason.Reason) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.open {
		return nil, reason.Leaving
	}
	now := q.clock.Fine()
	q.fillTokens(now)
	if q.canStart() && len(q.waiting) == 0 {
		q.start()
		return nil, ""
	}
	latestStartMillis := now + (deadlineMillis-now)*limitedWaitFraction
	ahead := q.ahead(startMillis)
	if now+q.tokenWaitMillis(ahead) > latestStartMillis {
		q.refusedForRate++
		return nil, reason.Overloaded
	}
	if now+max(q.slotWaitMillis(ahead), q.tokenWaitMillis(ahead))+q.runMillis > deadlineMillis {
		return nil, reason.Overloaded
	}
	q.lastSequence++
	w := &waiter{
		startMillis: startMillis, deadlineMillis: deadlineMillis, latestStartMillis: latestStartMillis,
		waitsForToken: q.ratePerMilli > 0 && q.running < q.slots(), sequence: q.lastSequence, notify: notify,
	}
	heap.Push(&q.waiting, w)
	return w, ""
}

// ahead returns how many requests are queued before one with this start time.
func (q *Queue) ahead(startMillis float64) float64 {
	ahead := 0
	for _, w := range q.waiting {
		if w.startMillis <= startMillis {
			ahead++
		}
	}
	return float64(ahead)
}

// slotWaitMillis estimates the queueing delay of a request behind so many queued
// ones. It leaves out running ones.
func (q *Queue) slotWaitMillis(ahead float64) float64 {
	if q.limit <= 0 {
		return 0
	}
	return ahead * q.runMillis / float64(q.limit)
}

// tokenWaitMillis returns when there is a token for a request behind so many
// queued ones, in milliseconds from now; 0 without a rate limit.
func (q *Queue) tokenWaitMillis(ahead float64) float64 {
	if q.ratePerMilli <= 0 {
		return 0
	}
	return max(ahead+1-q.tokens, 0) / q.ratePerMilli
}

// slots returns how many requests may run at once.
func (q *Queue) slots() int {
	if q.maxRunning > 0 {
		return min(q.limit, q.maxRunning)
	}
	return q.limit
}

// canStart reports whether there is a slot and, under a rate limit, a token for
// one more request.
func (q *Queue) canStart() bool {
	return q.running < q.slots() && (q.ratePerMilli <= 0 || q.tokens >= 1)
}

func (q *Queue) start() {
	q.running++
	if q.ratePerMilli > 0 {
		q.tokens--
	}
}

// fillTokens adds the tokens since the last fill, up to those of burstMillis.
func (q *Queue) fillTokens(now float64) {
	filled := q.tokens + (now-q.filledMillis)*q.ratePerMilli
	q.tokens = min(filled, max(burstMillis*q.ratePerMilli, 1))
	q.filledMillis = now
}

// SetBounds sets how many requests may start per second and how many may run at
// once, besides the limit of SetLimit; 0 is no bound. Under a new rate limit
// there are no tokens yet.
func (q *Queue) SetBounds(rate float64, maxRunning int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock.Fine()
	q.fillTokens(now)
	if q.ratePerMilli <= 0 {
		q.tokens = 0
	}
	q.ratePerMilli, q.maxRunning = rate/millisPerSecond, maxRunning
	q.fillTokens(now)
	q.refuseLate()
	q.startNext()
}

// RateCosts returns how many requests the rate limits have refused and how many
// they have delayed, since the queue was created.
func (q *Queue) RateCosts() (refused, delayed int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.refusedForRate, q.waitedForRate
}

// cancel removes a queued request whose context has ended, or frees its slot if
// the request was started in the meantime. It returns the outcome of the request.
func (q *Queue) cancel(w *waiter, outcome <-chan reason.Reason) reason.Reason {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
		return reason.Cancelled
	}
	if r := <-outcome; r != "" {
		return r
	}
	// The request got a slot just as its context ended. Its token is lost.
	q.running--
	q.startNext()
	return reason.Cancelled
}

// Release frees the slot of a run that has ended.
func (q *Queue) Release() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.running--
	q.startNext()
}

// SetLimit sets how many requests may run at once and the estimated run time in
// milliseconds. It refuses queued requests that can't meet their deadlines any
// more.
func (q *Queue) SetLimit(limit int, runMillis float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limit, q.runMillis = limit, runMillis
	q.refuseLate()
	q.startNext()
}

// refuseLate refuses queued requests that have become too late. SetLimit calls it
// regularly, because no run ends at a target that hangs, so that startNext alone
// would never refuse them. The mutex is held.
func (q *Queue) refuseLate() {
	now := q.clock.Fine()
	var late waiterHeap
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if q.isTooLate(w, now) {
			q.countLate(w, now)
			w.index = -1
			late = append(late, w)
			continue
		}
		w.index = len(kept)
		kept = append(kept, w)
	}
	if len(late) == 0 {
		return
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	heap.Init(&q.waiting)
	for _, w := range late {
		w.notify(reason.Overloaded)
	}
}

// isTooLate reports whether less than half of the estimated run time is left
// before the deadline, or whether the request has waited too long under a rate
// limit. It's less strict than the check in enqueue, which requires the whole run
// time.
func (q *Queue) isTooLate(w *waiter, now float64) bool {
	return now+q.runMillis/2 > w.deadlineMillis || q.ratePerMilli > 0 && now > w.latestStartMillis
}

// countLate counts a request that is refused as too late if the rate limit is the
// reason.
func (q *Queue) countLate(w *waiter, now float64) {
	if q.ratePerMilli > 0 && now > w.latestStartMillis {
		q.refusedForRate++
	}
}

// Open makes the queue accept requests.
func (q *Queue) Open() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.open = true
	q.startNext()
}

// Close refuses all queued requests and all new ones. Running requests go on.
func (q *Queue) Close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.open = false
	for len(q.waiting) > 0 {
		q.pop().notify(reason.Leaving)
	}
}

// Load returns the numbers of running and of queued requests.
func (q *Queue) Load() (running, waiting int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.running, len(q.waiting)
}

// startNext starts queued requests while there are slots and tokens. The mutex is
// held.
func (q *Queue) startNext() {
	now := q.clock.Fine()
	q.fillTokens(now)
	for q.open && len(q.waiting) > 0 && q.canStart() {
		w := q.pop()
		if q.isTooLate(w, now) {
			q.countLate(w, now)
			w.notify(reason.Overloaded)
			continue
		}
		if w.waitsForToken {
			q.waitedForRate++
		}
		q.start()
		w.notify("")
	}
}

func (q *Queue) pop() *waiter {
	w, ok := heap.Pop(&q.waiting).(*waiter)
	if !ok {
		panic("queue: popped a value that isn't a waiter")
	}
	return w
}

// waiterHeap is a heap of waiters, the lowest start time first.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].startMillis != h[j].startMillis {
		return h[i].startMillis < h[j].startMillis
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(v any) {
	w, ok := v.(*waiter)
	if !ok {
		panic("queue: pushed a value that isn't a waiter")
	}
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
