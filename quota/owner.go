package quota

import (
	"slices"

	"bergamotloom.example/bucket"
)

const (
	// outstandingMillis is how long an owner counts a grant as outstanding:
	// longer than the lifetime of a token on its holder's clock, even if that
	// clock runs slow.
	outstandingMillis = 1300
	// urgentOutstandingMillis is how long a grant for waiting requests counts as
	// outstanding: longer than package tokens allows its use (50 ms).
	urgentOutstandingMillis = 110
	// expiryCheckMillis is the time between two checks for expired grants.
	expiryCheckMillis = 50
	// maxPendingMillis is how long an owner delays the response to a token
	// request while revoked tokens are on their way back.
	maxPendingMillis = 6
	// revokeIntervalMillis is the min time between two revocations to one holder.
	revokeIntervalMillis = 20
	// maxIntervalDoublings bounds the doublings of that time for a holder whose
	// revocations return no tokens.
	maxIntervalDoublings = 5
	// prefetchDivisor limits what one token request may prefetch to the bucket's
	// level divided by it.
	prefetchDivisor = 4
	// retryMillisPerHolder times the number of holders is a lower bound of the
	// retry delay. It spreads the token requests of a team that has used up its
	// rate, so that the owner gets about one per millisecond.
	retryMillisPerHolder = 1
	// minRetryMillis and maxRetryMillis bound the retry delay that the owner
	// sends to holders.
	minRetryMillis = 5
	maxRetryMillis = 1000
	// startupRetryMillis is the retry delay that a new owner sends to holders
	// while grants of the previous owner may still be in use.
	startupRetryMillis = 50
)

// ownerState is the state of the team's owner during one epoch.
type ownerState struct {
	epoch           int64
	epochID         int64
	startMillis     int64
	bucket          *bucket.Bucket
	pending         []pendingRequest
	revocations     map[string]revocation
	expiryCheckedAt int64
}

// pendingRequest is a token request that waits for revoked tokens to be
// returned to the owner.
type pendingRequest struct {
	to       string
	seq      int64
	need     int64
	granted  int64
	prefetch int64
	deadline int64
}

// revocation is the last revocation sent to a holder.
type revocation struct {
	sentAt int64
	// awaitingReport says that the holder hasn't reported since.
	awaitingReport bool
	// emptyCount counts the consecutive revocations that returned no tokens.
	emptyCount int
}

// due reports whether another revocation may be sent to the holder.
func (r revocation) due(now int64) bool {
	return now-r.sentAt >= revokeIntervalMillis<<r.emptyCount
}

// afterReport returns the state after a report that returned the given number of
// tokens.
func (r revocation) afterReport(returned, now int64) revocation {
	switch {
	case returned > 0:
		return revocation{sentAt: r.sentAt}
	case r.awaitingReport && now-r.sentAt < revokeIntervalMillis<<r.emptyCount:
		return revocation{sentAt: r.sentAt, emptyCount: min(r.emptyCount+1, maxIntervalDoublings)}
	}
	return r
}

// ensureOwnerState returns the state of the current epoch, and creates it if the
// epoch has just begun. It returns nil if this node isn't the owner.
func (q *Quota) ensureOwnerState(s *teamState) *ownerState {
	epoch, takeoverMillis, isFirstOwner := s.lease.Epoch()
	if !s.lease.Acting() {
		return nil
	}
	if s.owner != nil && s.owner.epoch == epoch {
		return s.owner
	}
	o := &ownerState{
		epoch: epoch,
		// The ID is unique across restarts of the owner: it combines the incarnation
		// with the low 16 bits of the epoch.
		epochID:     q.incarnation<<16 | epoch&0xffff,
		startMillis: takeoverMillis + outstandingMillis,
		revocations: make(map[string]revocation),
	}
	level := 0.0
	if isFirstOwner {
		// There was no earlier owner, so no grants are outstanding.
		level, o.startMillis = s.team.Burst, takeoverMillis
	}
	o.bucket = bucket.New(s.team, level, o.startMillis, outstandingMillis)
	s.owner = o
	return o
}

// handleTokenRequest handles a holder's token request or return.
func (q *Quota) handleTokenRequest(s *teamState, from string, m message, now int64) {
	if m.Version < s.lease.Version() {
		s.lease.SendRow(from)
	}
	o := q.ensureOwnerState(s)
	if o == nil || now < o.startMillis {
		if s.lease.Owner() == q.self && m.Kind == kindRequest {
			q.post(from, message{
				Kind: kindGrant, Team: s.team.Name, Seq: m.Seq, RetryMillis: startupRetryMillis,
			})
		}
		return
	}
	if m.EpochID != o.epochID {
		// Tokens of an earlier epoch aren't counted by this bucket.
		m.Left = 0
	}
	returned, ok := o.bucket.Report(from, m.Incarnation, m.Seq, m.Used, m.Left, now)
	if !ok {
		return
	}
	o.revocations[from] = o.revocations[from].afterReport(returned, now)
	if m.Kind == kindReturn {
		q.respondPending(s, o, now)
		return
	}
	o.dropPending(from, now)
	q.respondPending(s, o, now)
	p := pendingRequest{to: from, seq: m.Seq, need: m.Need, deadline: now + maxPendingMillis}
	p.takeFrom(o.bucket, now)
	if p.need > 0 && q.revoke(s, o, from, now) {
		o.pending = append(o.pending, p)
		return
	}
	if p.need == 0 {
		p.prefetch = o.bucket.Grant(from, min(m.Prefetch, int64(o.bucket.Level(now)/prefetchDivisor)), now)
		if p.prefetch > 0 {
			// The holder has tokens again, so it may be revoked at once.
			delete(o.revocations, from)
		}
	}
	q.respond(s, o, p, now)
}

// dropPending drops the holder's earlier token request, which the holder has
// abandoned, and refunds the tokens reserved for it.
func (o *ownerState) dropPending(holder string, now int64) {
	o.pending = slices.DeleteFunc(o.pending, func(p pendingRequest) bool {
		if p.to == holder {
			o.bucket.Refund(p.granted, now)
		}
		return p.to == holder
	})
}

// takeFrom reserves the needed tokens from the bucket, as far as it has them.
func (p *pendingRequest) takeFrom(b *bucket.Bucket, now int64) {
	n := b.GrantUrgent(p.to, p.need, urgentOutstandingMillis, now)
	p.need -= n
	p.granted += n
}

// respondPending reserves tokens for the pending token requests in their order, and
// responds to those that have all they need or have waited long enough.
func (q *Quota) respondPending(s *teamState, o *ownerState, now int64) {
	var remaining []pendingRequest
	for _, p := range o.pending {
		p.takeFrom(o.bucket, now)
		if p.need > 0 && now < p.deadline {
			remaining = append(remaining, p)
			continue
		}
		q.respond(s, o, p, now)
	}
	o.pending = remaining
}

func (q *Quota) respond(s *teamState, o *ownerState, p pendingRequest, now int64) {
	m := message{
		Kind: kindGrant, Team: s.team.Name, EpochID: o.epochID, Seq: p.seq,
		Tokens: p.prefetch, Urgent: p.granted,
	}
	if p.need > 0 {
		m.RetryMillis = q.retryAfter(o, now)
	}
	q.post(p.to, m)
}

// retryAfter returns how many milliseconds a holder should wait before its next
// token request.
func (q *Quota) retryAfter(o *ownerState, now int64) int64 {
	wait := max(o.bucket.MillisUntilToken(now), int64(o.bucket.AccountCount())*retryMillisPerHolder, minRetryMillis)
	return min(wait, maxRetryMillis)
}

// revoke asks the other holders to return their unused tokens, and reports
// whether any holder has outstanding ones.
func (q *Quota) revoke(s *teamState, o *ownerState, requester string, now int64) bool {
	outstanding := false
	o.bucket.VisitHolders(func(holder string) {
		if holder == requester {
			return
		}
		outstanding = true
		if r := o.revocations[holder]; r.due(now) {
			o.revocations[holder] = revocation{sentAt: now, emptyCount: r.emptyCount, awaitingReport: true}
			q.post(holder, message{Kind: kindRevoke, Team: s.team.Name, EpochID: o.epochID})
		}
	})
	return outstanding
}

// tickOwner runs the owner's periodic tasks that are due.
func (q *Quota) tickOwner(s *teamState, now int64) {
	if s.owner == nil {
		return
	}
	o := q.ensureOwnerState(s)
	if o == nil {
		return
	}
	q.respondPending(s, o, now)
	if now-o.expiryCheckedAt >= expiryCheckMillis {
		o.expiryCheckedAt = now
		o.bucket.ExpireGrants(now)
	}
}
