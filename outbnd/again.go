package outbnd

import (
	"sync"

	"bergamotloom.example/output"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

// budget bounds the repeats of one service's requests at this node.
type budget struct {
	mutex *sync.Mutex
	ratio *ratio.Ratio
}

func (e *Entry) budget(service string) budget {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r, ok := e.repeats[service]
	if !ok {
		r = ratio.New(e.share, savedRepeats)
		e.repeats[service] = r
	}
	return budget{&e.mutex, r}
}

func (b budget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio.Earn()
}

func (b budget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ratio.Spend()
}

// again decides whether to offer the request to one more instance.
func (e *Entry) again(q *request, o output.Output) bool {
	left := q.due - e.clock.Fine()
	if q.more != nil || left < leastMillis || q.Context().Err() != nil {
		return false
	}
	if o.Ran == runst.Never && o.Reason != reason.TargetRefused {
		// Nothing reached a target, so it costs no budget.
		return q.tries < offers && (o.Reason == reason.NoInstance || o.Reason == reason.Leaving || o.Reason == reason.Overloaded)
	}
	q.sends++
	if q.trip.Repeat && q.trip.Call {
		// The whole chain above is a repeat already.
		return false
	}
	if o.Ran == runst.Never {
		return e.spend(q)
	}
	if !q.trip.Idempotent || q.sends >= q.route.Attempts {
		return false
	}
	if o.Answered() && !o.Failed() || o.Reason == reason.Cancelled || o.Reason == reason.DeadlineExceeded {
		return false
	}
	return e.spend(q)
}

func (e *Entry) spend(q *request) bool {
	if !e.budget(q.trip.Service).spend() {
		return false
	}
	q.trip = q.trip.WithRepeat()
	return true
}
