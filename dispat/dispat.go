// Package dispat brings a request to an instance of its service: it picks the
// instance, sends the request, and sends it again elsewhere where that is safe
// and the request's allowance and the budget of retries permit it.
package dispat

import (
	"context"
	"net/http"
	"sync"

	"bergamotloom.example/bounds"
	"bergamotloom.example/choose"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/member"
	"bergamotloom.example/passer"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/reply"
	"bergamotloom.example/retry"
)

const (
	// lostMillis is how long an instance is passed over after it was silent or
	// broke a connection, goneMillis after it refused one.
	lostMillis = 1000
	goneMillis = 5000
)

// Dispatcher sends requests to the instances that one node knows. It's safe
// for many goroutines.
type Dispatcher struct {
	clock  clock.Clock
	passer *passer.Passer
	// gone is told of an instance that refused a connection, suspect of one
	// that was silent.
	gone    func(m member.Member)
	suspect func(m member.Member)
	// lost is told of a request that broke off at an instance.
	lost func(m member.Member, fingerprint string)

	mutex   sync.Mutex
	chooser *choose.Chooser
	budgets map[pair]*ratio.Ratio
}

// pair names the service that calls, empty for callers, and the called one.
type pair struct {
	from, to string
}

// New returns a dispatcher that owns the chooser. Gone and suspect are called
// without any lock when an instance refuses a connection or is silent, and
// lost when a request broke off there.
func New(c clock.Clock, p *passer.Passer, chooser *choose.Chooser, gone, suspect func(member.Member), lost func(m member.Member, fingerprint string)) *Dispatcher {
	return &Dispatcher{
		clock:   c,
		passer:  p,
		gone:    gone,
		suspect: suspect,
		lost:    lost,
		chooser: chooser,
		budgets: make(map[pair]*ratio.Ratio),
	}
}

// Update takes the list of all members.
func (d *Dispatcher) Update(members []member.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.chooser.Update(members)
}

// Send brings the request to an instance of the service, on behalf of a
// service or of a caller (from is empty then). The envelope says what it is,
// deadlineMillis when its time runs out, and allowance how often it may be
// sent again, here and below. It returns the answer and the unused allowance.
func (d *Dispatcher) Send(ctx context.Context, from, service string, e envel.Envelope, deadlineMillis int64, allowance retry.Allowance, r *http.Request) (reply.Reply, retry.Allowance) {
	s := &sending{
		owner:     d,
		service:   service,
		pair:      pair{from, service},
		envelope:  e,
		deadline:  deadlineMillis,
		allowance: allowance,
		body:      newReplay(r),
		lowest:    bounds.None(),
	}
	if !e.Idempotent || !s.body.empty() {
		// A request that must not run twice, or that has a body, waits for
		// its admission, so that an attempt before that is free.
		s.envelope = e.WithConfirm()
	}
	d.earn(s.pair)
	got := s.run(ctx)
	return got, s.allowance
}

func (d *Dispatcher) earn(p pair) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.budget(p).Earn()
}

func (d *Dispatcher) spend(p pair) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.budget(p).Spend()
}

func (d *Dispatcher) budget(p pair) *ratio.Ratio {
	b, ok := d.budgets[p]
	if !ok {
		b = ratio.NewDefault()
		d.budgets[p] = b
	}
	return b
}

func (d *Dispatcher) pick(service string, tried []string) (member.Member, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	m, ok := d.chooser.Pick(service, tried...)
	if ok {
		d.chooser.Started(m.ID)
	}
	return m, ok
}

// doubt lets new requests go elsewhere until the instance is heard, or found
// silent.
func (d *Dispatcher) doubt(m member.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.chooser.Lost(m.ID, passer.SilenceMillis-passer.DoubtMillis)
}

func (d *Dispatcher) ended(m member.Member, a reply.Reply, whole bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.chooser.Ended(m.ID, whole, a.TookMillis, a.Threshold)
	switch {
	case a.Gone:
		d.chooser.Lost(m.ID, goneMillis)
	case a.Silent || a.Refusal.Reason == reason.InstanceLost:
		d.chooser.Lost(m.ID, lostMillis)
	}
}
