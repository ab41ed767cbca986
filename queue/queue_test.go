package queue_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/queue"
	"bergamotloom.example/reason"
)

// newOpenQueue returns an open queue and the function that advances its clock.
func newOpenQueue(t *testing.T, limit int, runMillis float64) (*queue.Queue, func(millis float64)) {
	t.Helper()
	c, advance := clock.NewManual(0)
	q := queue.New(c)
	q.SetLimit(limit, runMillis)
	q.Open()
	return q, advance
}

// acquireInBackground calls Acquire in the background and returns once the request runs, is
// queued or is refused.
func acquireInBackground(ctx context.Context, t *testing.T, q *queue.Queue, startMillis, deadlineMillis float64) <-chan reason.Reason {
	t.Helper()
	out := make(chan reason.Reason, 1)
	running, waiting := q.Load()
	go func() { out <- q.Acquire(ctx, startMillis, deadlineMillis) }()
	timeoutAt := time.Now().Add(5 * time.Second)
	for time.Now().Before(timeoutAt) {
		r, w := q.Load()
		if r+w > running+waiting || len(out) > 0 {
			return out
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the request was neither started nor queued nor refused within 5 s")
	return nil
}

func TestClosedQueueRefusesRequests(t *testing.T) {
	c, _ := clock.NewManual(0)
	assert.Equal(t, queue.New(c).Acquire(t.Context(), 0, 100), reason.Leaving)
}

func TestRequestsStartInScheduledOrder(t *testing.T) {
	q, _ := newOpenQueue(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	later := acquireInBackground(t.Context(), t, q, 300, 1000)
	earlier := acquireInBackground(t.Context(), t, q, 100, 1000)
	q.Release()
	assert.Equal(t, <-earlier, reason.Reason(""))
	assert.Equal(t, len(later), 0)
	q.Release()
	assert.Equal(t, <-later, reason.Reason(""))
	running, waiting := q.Load()
	assert.Equal(t, running, 1)
	assert.Equal(t, waiting, 0)
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	q, _ := newOpenQueue(t, 1, 50)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	assert.Equal(t, q.Acquire(t.Context(), 1, 30), reason.Overloaded)
}

func TestQueuedRequestPastItsDeadlineIsRefusedAndTheNextStarts(t *testing.T) {
	q, advance := newOpenQueue(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	expired := acquireInBackground(t.Context(), t, q, 1, 40)
	next := acquireInBackground(t.Context(), t, q, 2, 1000)
	advance(60)
	q.Release()
	assert.Equal(t, <-expired, reason.Overloaded)
	assert.Equal(t, <-next, reason.Reason(""))
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	q, _ := newOpenQueue(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := acquireInBackground(ctx, t, q, 1, 1000)
	cancel()
	assert.Equal(t, <-cancelled, reason.Cancelled)
	_, waiting := q.Load()
	assert.Equal(t, waiting, 0)
}

func TestCloseRefusesQueuedRequestsAndKeepsRunningOnes(t *testing.T) {
	q, _ := newOpenQueue(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	waiting := acquireInBackground(t.Context(), t, q, 1, 1000)
	q.Close()
	assert.Equal(t, <-waiting, reason.Leaving)
	running, _ := q.Load()
	assert.Equal(t, running, 1)
}

func TestHigherLimitStartsQueuedRequests(t *testing.T) {
	q, _ := newOpenQueue(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	waiting := acquireInBackground(t.Context(), t, q, 1, 1000)
	q.SetLimit(2, 10)
	assert.Equal(t, <-waiting, reason.Reason(""))
}

func TestAcquireAsyncNotifiesWhenTheRequestMayRun(t *testing.T) {
	q, _ := newOpenQueue(t, 1, 10)
	var outcomes []string
	notify := func(name string) func(reason.Reason) {
		return func(r reason.Reason) { outcomes = append(outcomes, name+string(r)) }
	}
	r, queued := q.AcquireAsync(1, 1000, notify("first"))
	assert.Assert(t, r == "" && !queued)
	for _, w := range []struct {
		name        string
		startMillis float64
	}{{"later", 9}, {"earlier", 5}} {
		r, queued = q.AcquireAsync(w.startMillis, 1000, notify(w.name))
		assert.Assert(t, r == "" && queued)
	}
	r, queued = q.AcquireAsync(1, 5, notify("too late"))
	assert.Assert(t, r == reason.Overloaded && !queued)
	q.Release()
	q.Close()
	assert.DeepEqual(t, outcomes, []string{"earlier", "later" + string(reason.Leaving)})
}

// No run ends at a target that hangs; queued requests must still be refused when
// their deadlines can't be met.
func TestQueuedRequestsAreRefusedInTimeWhileNoRunEnds(t *testing.T) {
	q, advance := newOpenQueue(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	outcomes := map[int]reason.Reason{}
	for i, deadlineMillis := range []float64{300, 90, 500, 80, 70, 100} {
		_, queued := q.AcquireAsync(float64(i), deadlineMillis, func(r reason.Reason) { outcomes[i] = r })
		assert.Assert(t, queued)
	}
	// Half a run takes 5 ms, so at 99 ms deadlines before 104 ms can't be met.
	advance(99)
	q.SetLimit(1, 10)
	assert.DeepEqual(t, outcomes, map[int]reason.Reason{1: reason.Overloaded, 3: reason.Overloaded, 4: reason.Overloaded, 5: reason.Overloaded})
	running, waiting := q.Load()
	assert.Equal(t, running, 1)
	assert.Equal(t, waiting, 2)
}
