package queue_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/queue"
	"bergamotloom.example/reason"
)

const windowMillis = 4000

// startTimes offers one request at each of the times (in milliseconds), with a
// deadline a second later, and returns when they started. Each run takes
// runMillis. Before each millisecond, change is called with its number.
func startTimes(times []int, runMillis float64, change func(q *queue.Queue, now int)) []int {
	c, advance := clock.NewManual(0)
	q := queue.New(c)
	q.SetLimit(100, runMillis)
	q.Open()
	var started []int
	ends := map[int]int{}
	start := func(r reason.Reason) {
		if r == "" {
			started = append(started, int(c.Now()))
			ends[int(c.Now()+int64(runMillis))]++
		}
	}
	next := 0
	for now := range times[len(times)-1] + 1 {
		change(q, now)
		for ; next < len(times) && times[next] <= now; next++ {
			if r, queued := q.AcquireAsync(c.Fine(), c.Fine()+1000, start); !queued {
				start(r)
			}
		}
		if now%100 == 0 {
			q.SetLimit(100, runMillis)
		}
		advance(1)
		for range ends[int(c.Now())] {
			q.Release()
		}
	}
	return started
}

// mostInWindow returns the largest number of starts in a window of windowMillis that
// begins at from or later.
func mostInWindow(started []int, from int) int {
	most, first := 0, 0
	for i, at := range started {
		for started[first] < from && first < i || at-started[first] > windowMillis {
			first++
		}
		if started[first] >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// In each window, a target gets at most 1.5 times its limit and 5 requests, whatever
// the arrivals, from the change of the limit on.
func TestStartsStayWithinTheRateLimit(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, seed))
		rate := []float64{0.5, 3, 20, 55.2, 400}[random.IntN(5)]
		var times []int
		for now := 0; now < 12_000; {
			now += random.IntN(1 + int(random.ExpFloat64()*2000/rate))
			for range 1 + random.IntN(20) {
				times = append(times, now)
			}
		}
		started := startTimes(times, float64(1+random.IntN(300)), func(q *queue.Queue, now int) {
			if now == 2000 {
				q.SetBounds(rate, 0)
			}
		})
		got := mostInWindow(started, 2001)
		assert.Check(t, float64(got) <= 1.5*rate*windowMillis/1000+5, "seed %d: %d starts at a limit of %v a second", seed, got, rate)
	}
}

func TestRateLimitIsUsedUnderLoad(t *testing.T) {
	var times []int
	for now := range 10_000 {
		times = append(times, now)
	}
	started := startTimes(times, 20, func(q *queue.Queue, now int) {
		switch now {
		case 0:
			q.SetBounds(50, 0)
		case 8000:
			q.SetBounds(0, 0)
		}
	})
	var limited, unlimited int
	for _, at := range started {
		if at < 8000 {
			limited++
		} else {
			unlimited++
		}
	}
	assert.Assert(t, limited > 390 && limited <= 425, "%d starts in 8 s at 50 a second", limited)
	assert.Assert(t, unlimited > 1900, "%d starts in 2 s without a limit", unlimited)
}

// Two thirds of the time are left to a request that a rate limit refuses.
func TestRateLimitRefusesInTimeForAnotherTarget(t *testing.T) {
	q, advance := newOpenQueue(t, 100, 10)
	q.SetBounds(10, 0)
	var got []reason.Reason
	for range 3 {
		r, queued := q.AcquireAsync(0, 900, func(r reason.Reason) { got = append(got, r) })
		assert.Assert(t, queued, "%v", r)
	}
	// The fourth would wait 400 ms of its 900.
	r, queued := q.AcquireAsync(0, 900, func(reason.Reason) {})
	assert.Assert(t, !queued)
	assert.Equal(t, r, reason.Overloaded)
	// A lower limit makes the queued ones wait longer than they can.
	q.SetBounds(0.5, 0)
	advance(301)
	q.SetLimit(100, 10)
	assert.DeepEqual(t, got, []reason.Reason{reason.Overloaded, reason.Overloaded, reason.Overloaded})
	refused, _ := q.RateCosts()
	assert.Equal(t, refused, int64(4))
}

// With one token a second left, the earlier start time goes first.
func TestRateLimitRefusesTheLeastImportantFirst(t *testing.T) {
	q, advance := newOpenQueue(t, 100, 10)
	q.SetBounds(2, 0)
	outcomes := map[string]reason.Reason{}
	offer := func(name string, startMillis float64) {
		if r, queued := q.AcquireAsync(startMillis, 2000, func(r reason.Reason) { outcomes[name] = r }); !queued {
			outcomes[name] = r
		}
	}
	offer("sheddable", 900)
	offer("critical", 100)
	advance(500)
	q.SetLimit(100, 10)
	assert.DeepEqual(t, outcomes, map[string]reason.Reason{"critical": ""})
	advance(300)
	q.SetLimit(100, 10)
	assert.DeepEqual(t, outcomes, map[string]reason.Reason{"critical": "", "sheddable": reason.Overloaded})
}

func TestFewRequestsRunWhileTheRateLimitIsNotKnown(t *testing.T) {
	q, _ := newOpenQueue(t, 100, 10)
	q.SetBounds(0, 4)
	for range 10 {
		q.AcquireAsync(0, 1000, func(reason.Reason) {})
	}
	running, waiting := q.Load()
	assert.Equal(t, running, 4)
	assert.Equal(t, waiting, 6)
	q.SetBounds(0, 0)
	running, _ = q.Load()
	assert.Equal(t, running, 10)
}
