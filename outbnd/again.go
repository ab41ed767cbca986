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

// first counts the first send of a request. A call of a repeated run is a
// repeat at the service where it arrives, and leaves less for others.
func (b budget) first(repeat bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio.Earn()
	if repeat {
		b.ratio.Charge()
	}
}

// spend takes one repeat if there are at least so many.
func (b budget) spend(least float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ratio.Saved() >= least && b.ratio.Spend()
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
	if _, refused := e.marks.Refuses(q.trip.Mark); refused {
		return false
	}
	if q.trip.Repeat && q.trip.Call {
		// The whole chain above is a repeat already.
		return false
	}
	if o.Ran == runst.Never {
		return e.spend(q, 1)
	}
	if !q.trip.Idempotent || q.sends >= q.route.Attempts {
		return false
	}
	if o.HasResponse() && !o.Failed() || o.Reason == reason.Cancelled || o.Reason == reason.DeadlineExceeded {
		return false
	}
	if o.Failed() {
		// The run made calls, perhaps, which a repeat makes all again. What
		// failed deeper was repeated there already.
		return e.spend(q, spareRepeats)
	}
	return e.spend(q, 1)
}

func (e *Entry) spend(q *request, least float64) bool {
	if !e.budget(q.trip.Service).spend(least) {
		return false
	}
	q.trip = q.trip.WithRepeat()
	return true
}
