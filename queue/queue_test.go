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

func open(t *testing.T, limit int, runMillis float64) (*queue.Queue, func(millis float64)) {
	t.Helper()
	c, advance := clock.NewManual(0)
	q := queue.New(c)
	q.SetLimit(limit, runMillis)
	q.Open()
	return q, advance
}

// enter starts a request and waits until it has begun or waits in line.
func enter(ctx context.Context, t *testing.T, q *queue.Queue, order, due float64) <-chan reason.Reason {
	t.Helper()
	out := make(chan reason.Reason, 1)
	running, waiting := q.Load()
	go func() { out <- q.Acquire(ctx, order, due) }()
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		r, w := q.Load()
		if r+w > running+waiting || len(out) > 0 {
			return out
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the request neither began nor waits")
	return nil
}

func TestShutQueueRefuses(t *testing.T) {
	c, _ := clock.NewManual(0)
	assert.Equal(t, queue.New(c).Acquire(t.Context(), 0, 100), reason.Leaving)
}

func TestRequestsBeginInTheOrderInWhichTheyAreDue(t *testing.T) {
	q, _ := open(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	late := enter(t.Context(), t, q, 300, 1000)
	soon := enter(t.Context(), t, q, 100, 1000)
	q.Release()
	assert.Equal(t, <-soon, reason.Reason(""))
	assert.Equal(t, len(late), 0)
	q.Release()
	assert.Equal(t, <-late, reason.Reason(""))
	running, waiting := q.Load()
	assert.Equal(t, running, 1)
	assert.Equal(t, waiting, 0)
}

func TestRequestThatCouldNotEndInTimeIsRefusedAtOnce(t *testing.T) {
	q, _ := open(t, 1, 50)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	assert.Equal(t, q.Acquire(t.Context(), 1, 30), reason.Overloaded)
}

func TestWaitingRequestThatBecameTooLateIsRefusedAndTheNextBegins(t *testing.T) {
	q, advance := open(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	stale := enter(t.Context(), t, q, 1, 40)
	fresh := enter(t.Context(), t, q, 2, 1000)
	advance(60)
	q.Release()
	assert.Equal(t, <-stale, reason.Overloaded)
	assert.Equal(t, <-fresh, reason.Reason(""))
}

func TestCallerThatLeavesGivesUpItsPlace(t *testing.T) {
	q, _ := open(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	ctx, leave := context.WithCancel(t.Context())
	gone := enter(ctx, t, q, 1, 1000)
	leave()
	assert.Equal(t, <-gone, reason.Cancelled)
	_, waiting := q.Load()
	assert.Equal(t, waiting, 0)
}

func TestShutRefusesThoseThatWaitAndKeepsThoseThatRun(t *testing.T) {
	q, _ := open(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	waits := enter(t.Context(), t, q, 1, 1000)
	q.Close()
	assert.Equal(t, <-waits, reason.Leaving)
	running, _ := q.Load()
	assert.Equal(t, running, 1)
}

func TestHigherLimitLetsMoreBegin(t *testing.T) {
	q, _ := open(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	waits := enter(t.Context(), t, q, 1, 1000)
	q.SetLimit(2, 10)
	assert.Equal(t, <-waits, reason.Reason(""))
}

func TestOfferTellsLaterWhenTheRequestMayRun(t *testing.T) {
	q, _ := open(t, 1, 10)
	var began []string
	note := func(name string) func(reason.Reason) {
		return func(r reason.Reason) { began = append(began, name+string(r)) }
	}
	r, waits := q.AcquireAsync(1, 1000, note("first"))
	assert.Assert(t, r == "" && !waits)
	for _, w := range []struct {
		name  string
		order float64
	}{{"late", 9}, {"early", 5}} {
		r, waits = q.AcquireAsync(w.order, 1000, note(w.name))
		assert.Assert(t, r == "" && waits)
	}
	r, waits = q.AcquireAsync(1, 5, note("hopeless"))
	assert.Assert(t, r == reason.Overloaded && !waits)
	q.Release()
	q.Close()
	assert.DeepEqual(t, began, []string{"early", "late" + string(reason.Leaving)})
}

// A target that hangs ends no runs. Those that wait for it are told in time.
func TestWaitingRequestsAreRefusedInTimeWhileNoRunEnds(t *testing.T) {
	q, advance := open(t, 1, 10)
	assert.Equal(t, q.Acquire(t.Context(), 0, 1000), reason.Reason(""))
	told := map[int]reason.Reason{}
	for i, due := range []float64{300, 90, 500, 80, 70, 100} {
		_, waits := q.AcquireAsync(float64(i), due, func(r reason.Reason) { told[i] = r })
		assert.Assert(t, waits)
	}
	advance(99)
	q.SetLimit(1, 10)
	assert.DeepEqual(t, told, map[int]reason.Reason{1: reason.Overloaded, 3: reason.Overloaded, 4: reason.Overloaded, 5: reason.Overloaded})
	running, waiting := q.Load()
	assert.Equal(t, running, 1)
	assert.Equal(t, waiting, 2)
}
