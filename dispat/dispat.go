// Package dispat sends a request to an instance of its service. It selects the
// instance, sends the request, and retries on another instance if that is safe
// and both the request's allowance and the retry budget permit it.
package dispat

import (
	"context"
	"net/http"
	"sync"

	"bergamotloom.example/bounds"
	"bergamotloom.example/choose"
	"bergamotloom.example/clock"
	"bergamotloom.example/envel"
	"bergamotloom.example/forwrd"
	"bergamotloom.example/member"
	"bergamotloom.example/ratio"
	"bergamotloom.example/reason"
	"bergamotloom.example/reply"
	"bergamotloom.example/retry"
)

const (
	// lostEjectionMillis is how long an instance is ejected after its
	// connection stalled or was lost. refusedEjectionMillis is how long it's
	// ejected after it refused a connection, which means that its process has
	// ended.
	lostEjectionMillis    = 1000
	refusedEjectionMillis = 5000
)

// Dispatcher sends requests to the instances known to one node. It's safe for
// concurrent use.
type Dispatcher struct {
	clock     clock.Clock
	forwarder *forwrd.Forwarder
	// onConnectionRefused is called with an instance that refused a connection,
	// onConnectionStalled with one whose connection stalled.
	onConnectionRefused func(m member.Member)
	onConnectionStalled func(m member.Member)
	// onRequestLost is called with an instance whose connection was lost while
	// it had a request, and the fingerprint of the request.
	onRequestLost func(m member.Member, fingerprint string)

	mutex   sync.Mutex
	chooser *choose.Chooser
	budgets map[servicePair]*ratio.Ratio
}

// servicePair names the calling service, empty for callers from outside, and
// the called service.
type servicePair struct {
	callingService, calledService string
}

// New returns a dispatcher that owns the chooser. The callbacks run without any
// lock held: onConnectionRefused when an instance refuses a connection,
// onConnectionStalled when its connection stalls, and onRequestLost when its
// connection is lost while it has a request.
func New(c clock.Clock, f *forwrd.Forwarder, chooser *choose.Chooser, onConnectionRefused, onConnectionStalled func(member.Member), onRequestLost func(m member.Member, fingerprint string)) *Dispatcher {
	return &Dispatcher{
		clock:               c,
		forwarder:           f,
		onConnectionRefused: onConnectionRefused,
		onConnectionStalled: onConnectionStalled,
		onRequestLost:       onRequestLost,
		chooser:             chooser,
		budgets:             make(map[servicePair]*ratio.Ratio),
	}
}

// Update replaces the list of all members.
func (d *Dispatcher) Update(members []member.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.chooser.Update(members)
}

// Send sends the request to an instance of the service, on behalf of the
// service from, which is empty for a caller from outside. e is the request's
// envelope, deadlineMillis the time at which its deadline expires, and
// allowance the number of retries that it may cause here and further down the
// chain. Once that is used up, grantRetry is called for each further retry here, and
// reports whether it may be made; without it there are none. Send returns the result
// and the unused allowance.
func (d *Dispatcher) Send(ctx context.Context, from, service string, e envel.Envelope, deadlineMillis int64, allowance retry.Allowance, grantRetry func() bool, r *http.Request) (reply.Reply, retry.Allowance) {
	pending := &delivery{
		dispatcher:     d,
		service:        service,
		budgetKey:      servicePair{from, service},
		envelope:       e,
		deadlineMillis: deadlineMillis,
		allowance:      allowance,
		grantRetry:     grantRetry,
		outgoing:       newResendableRequest(r),
		lowest:         bounds.None(),
	}
	if !e.Idempotent || !pending.outgoing.withoutBody() {
		// A request that must not run twice, or that has a body, runs only
		// after a confirmation, so that an attempt that fails before its
		// admission can safely be retried.
		pending.envelope = e.WithConfirm()
	}
	d.earnRetry(pending.budgetKey)
	result := pending.run(ctx)
	return result, pending.allowance
}

func (d *Dispatcher) earnRetry(p servicePair) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.budget(p).Earn()
}

func (d *Dispatcher) spendRetry(p servicePair) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.budget(p).Spend()
}

func (d *Dispatcher) budget(p servicePair) *ratio.Ratio {
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

// ejectBriefly ejects the instance after a missed heartbeat, until the silence
// timeout would expire.
func (d *Dispatcher) ejectBriefly(m member.Member) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.chooser.Eject(m.ID, forwrd.SilenceMillis-forwrd.MissedHeartbeatMillis)
}

// attemptEnded records the end of an attempt. complete says that the response
// body was read to its end.
func (d *Dispatcher) attemptEnded(m member.Member, result reply.Reply, complete bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.chooser.Ended(m.ID, complete, result.FirstByteMillis, result.Threshold)
	switch {
	case result.ConnectionRefused:
		d.chooser.Eject(m.ID, refusedEjectionMillis)
	case result.ConnectionStalled || result.Refusal.Reason == reason.InstanceLost:
		d.chooser.Eject(m.ID, lostEjectionMillis)
	}
}
