package dispat

import (
	"context"
	"io"
	"sync"

	"bergamotloom.example/bounds"
	"bergamotloom.example/envel"
	"bergamotloom.example/member"
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
	"bergamotloom.example/reply"
	"bergamotloom.example/retry"
	"bergamotloom.example/runst"
)

const (
	// parties is by how many an allowance is divided when a request is sent:
	// the node keeps a part for sending it again, the rest goes along.
	parties = 2

	// lossesMost is how many instances a request may be lost with and still
	// be sent to another.
	lossesMost = 1
)

// sending is one request on its way, with all its attempts.
type sending struct {
	owner     *Dispatcher
	service   string
	pair      pair
	envelope  envel.Envelope
	deadline  int64
	allowance retry.Allowance
	body      *replay
	tried     []string
	// maybe says that an attempt before may have run.
	maybe bool
	// losses counts the instances that were lost while they had the request.
	losses int
	lowest bounds.Bounds
}

// run sends the request until it's answered or may not be sent again.
func (s *sending) run(ctx context.Context) reply.Reply {
	got := reply.Refuse(refuse.New(reason.NoInstance))
	for {
		left := s.deadline - s.owner.clock.Now()
		if left <= 0 {
			return s.finish(reply.Refuse(refuse.New(reason.DeadlineExceeded)))
		}
		m, ok := s.owner.pick(s.service, s.tried)
		if !ok {
			return s.finish(got)
		}
		got = s.attempt(ctx, m, left)
		if got.Served() || !s.again(got) {
			return s.finish(got)
		}
		s.tried = append(s.tried, m.ID)
	}
}

// attempt sends the request to one instance.
func (s *sending) attempt(ctx context.Context, m member.Member, leftMillis int64) reply.Reply {
	rest, lent := s.allowance.Split(parties)
	s.allowance = rest
	e := s.envelope.WithAttempt(leftMillis, lent.Left())
	got := s.owner.forwarder.Forward(ctx, m.ID, e, s.body.request(), func() { s.owner.doubt(m) })
	if !got.Served() && s.body.broken.Load() {
		got = sourceBroke(got)
	}
	s.allowance = s.allowance.Merge(retry.New(got.Unused))
	s.lowest = s.lowest.Lower(got.Lowest)
	s.tell(m, got)
	if !got.Served() {
		s.maybe = s.maybe || got.Refusal.Ran != runst.Never
		s.owner.ended(m, got, false)
		return got
	}
	got.Body = &ending{ReadCloser: got.Body, done: func(whole bool) { s.owner.ended(m, got, whole) }}
	return got
}

// sourceBroke returns the outcome of an attempt whose body couldn't be read
// from its sender to the end. That shows nothing of the instance.
func sourceBroke(got reply.Reply) reply.Reply {
	got.Refusal.Reason = reason.BadRequest
	got.Refusal.Detail = "The body broke off."
	got.Broke = false
	return got
}

// tell passes on what the attempt showed of the instance.
func (s *sending) tell(m member.Member, got reply.Reply) {
	switch {
	case got.Gone:
		s.owner.gone(m)
	case got.Silent:
		s.owner.suspect(m)
	case got.Broke:
		s.owner.lost(m, s.envelope.Fingerprint)
	}
}

// again tells whether the refused request may be sent to another instance. A
// request that never ran may; one that may have run only if it's idempotent.
func (s *sending) again(got reply.Reply) bool {
	if !worthRetry(got.Refusal.Reason) || !s.body.whole() {
		return false
	}
	if s.isLoss(got) {
		s.losses++
	}
	if s.losses > lossesMost {
		// It may be the request that ends its instances.
		return false
	}
	if !retry.Safe(got.Refusal.Ran, s.envelope.Idempotent) {
		return false
	}
	rest, ok := s.allowance.Take()
	if !ok || !s.owner.spend(s.pair) {
		return false
	}
	s.allowance = rest
	return true
}

// isLoss tells whether the instance was lost while it had the request. One
// whose connection was silent is there.
func (s *sending) isLoss(got reply.Reply) bool {
	return got.Refusal.Reason == reason.InstanceLost && got.Refusal.Ran != runst.Never && !got.Silent
}

// worthRetry tells whether another instance might answer.
func worthRetry(why reason.Reason) bool {
	switch why {
	case reason.InstanceLost, reason.Overloaded, reason.Leaving, reason.NoInstance, reason.NotInForce:
		return true
	default:
		return false
	}
}

func (s *sending) finish(got reply.Reply) reply.Reply {
	got.Lowest = s.lowest
	// The last attempt never ran, but one before it may have.
	if !got.Served() && s.maybe {
		got.Refusal = got.Refusal.WithRan(runst.Maybe)
	}
	return got
}

// ending tells when an answer's stream has ended, and whether it was whole.
type ending struct {
	io.ReadCloser
	once  sync.Once
	whole bool
	done  func(whole bool)
}

// Read passes the body on and takes note of its end.
func (e *ending) Read(b []byte) (int, error) {
	n, err := e.ReadCloser.Read(b)
	if err == io.EOF { //nolint:errorlint // readers return a bare io.EOF
		e.whole = true
	}
	return n, err
}

// Close ends the attempt.
func (e *ending) Close() error {
	err := e.ReadCloser.Close()
	e.once.Do(func() { e.done(e.whole) })
	return err
}
