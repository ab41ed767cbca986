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
	// urgentMillis is the same for tokens of waiting requests: longer than
	// package tokens allows their use.
	urgentMillis = 110
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
	// retryMillisPerHolder spreads the token requests of a team that has used up
	// its rate: on average the owner gets one in so many milliseconds.
	retryMillisPerHolder = 1
	// minRetryMillis and maxRetryMillis bound the time after which the owner
	// tells holders to retry.
	minRetryMillis = 5
	maxRetryMillis = 1000
	// startupRetryMillis is the time after which a new owner tells holders to
	// retry while grants of the previous owner may still be in use.
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
	// empty counts the revocations in a row that returned no tokens.
	empty int
}

// due reports whether another revocation may be sent to the holder.
func (r revocation) due(now int64) bool {
	return now-r.sentAt >= revokeIntervalMillis<<r.empty
}

// afterReport returns the state after a report with which the holder returned
// so many tokens.
func (r revocation) afterReport(returned, now int64) revocation {
	switch {
	case returned > 0:
		return revocation{sentAt: r.sentAt}
	case r.awaitingReport && now-r.sentAt < revokeIntervalMillis<<r.empty:
		return revocation{sentAt: r.sentAt, empty: min(r.empty+1, maxIntervalDoublings)}
	}
	return r
}

// currentOwnerState returns the state of the current epoch, or nil if this node
// isn't the owner.
func (q *Quota) currentOwnerState(s *teamState) *ownerState {
	epoch, takeoverMillis, first := s.lease.Epoch()
	if !s.lease.Acting() {
		return nil
	}
	if s.owner != nil && s.owner.epoch == epoch {
		return s.owner
	}
	b := &ownerState{
		epoch:       epoch,
		epochID:     q.incarnation<<16 | epoch&0xffff,
		startMillis: takeoverMillis + outstandingMillis,
		revocations: make(map[string]revocation),
	}
	level := 0.0
	if first {
		// There was no earlier owner, so no grants are outstanding.
		level, b.startMillis = s.team.Burst, takeoverMillis
	}
	b.bucket = bucket.New(s.team, level, b.startMillis, outstandingMillis)
	s.owner = b
	return b
}

// handleTokenRequest handles a holder's token request or return.
func (q *Quota) handleTokenRequest(s *teamState, from string, m message, now int64) {
	if m.Version < s.lease.Version() {
		s.lease.SendRow(from)
	}
	b := q.currentOwnerState(s)
	if b == nil || now < b.startMillis {
		if s.lease.Owner() == q.self && m.Kind == kindRequest {
			q.post(from, message{
				Kind: kindGrant, Team: s.team.Name, Seq: m.Seq, RetryMillis: startupRetryMillis,
			})
		}
		return
	}
	if m.EpochID != b.epochID {
		m.Left = 0
	}
	returned, ok := b.bucket.Report(from, m.Incarnation, m.Seq, m.Used, m.Left, now)
	if !ok {
		return
	}
	b.revocations[from] = b.revocations[from].afterReport(returned, now)
	if m.Kind == kindReturn {
		q.servePending(s, b, now)
		return
	}
	b.dropPending(from, now)
	q.servePending(s, b, now)
	p := pendingRequest{to: from, seq: m.Seq, need: m.Need, deadline: now + maxPendingMillis}
	p.takeFrom(b.bucket, now)
	if p.need > 0 && q.revoke(s, b, from, now) {
		b.pending = append(b.pending, p)
		return
	}
	if p.need == 0 {
		p.prefetch = b.bucket.Grant(from, min(m.Prefetch, int64(b.bucket.Level(now)/prefetchDivisor)), now)
		if p.prefetch > 0 {
			// The holder has tokens again, so it may be revoked at once.
			delete(b.revocations, from)
		}
	}
	q.respond(s, b, p, now)
}

// dropPending drops the holder's earlier token request, which the holder has
// abandoned, and refunds the tokens reserved for it.
func (b *ownerState) dropPending(holder string, now int64) {
	b.pending = slices.DeleteFunc(b.pending, func(p pendingRequest) bool {
		if p.to == holder {
			b.bucket.Refund(p.granted, now)
		}
		return p.to == holder
	})
}

// takeFrom reserves the needed tokens from the bucket, as far as it has them.
func (p *pendingRequest) takeFrom(b *bucket.Bucket, now int64) {
	n := b.GrantUrgent(p.to, p.need, urgentMillis, now)
	p.need -= n
	p.granted += n
}

// servePending reserves tokens for the pending token requests in their order, and
// responds to those that have all they need or have waited long enough.
func (q *Quota) servePending(s *teamState, b *ownerState, now int64) {
	var remaining []pendingRequest
	for _, p := range b.pending {
		p.takeFrom(b.bucket, now)
		if p.need > 0 && now < p.deadline {
			remaining = append(remaining, p)
			continue
		}
		q.respond(s, b, p, now)
	}
	b.pending = remaining
}

func (q *Quota) respond(s *teamState, b *ownerState, p pendingRequest, now int64) {
	m := message{
		Kind: kindGrant, Team: s.team.Name, EpochID: b.epochID, Seq: p.seq,
		Tokens: p.prefetch, Urgent: p.granted,
	}
	if p.need > 0 {
		m.RetryMillis = q.retryAfter(b, now)
	}
	q.post(p.to, m)
}

// retryAfter returns how many milliseconds a holder should wait before its next
// token request.
func (q *Quota) retryAfter(b *ownerState, now int64) int64 {
	wait := max(b.bucket.MillisUntilToken(now), int64(b.bucket.AccountCount())*retryMillisPerHolder, minRetryMillis)
	return min(wait, maxRetryMillis)
}

// revoke asks the other holders to return their unused tokens, and reports
// whether any holder has outstanding ones.
func (q *Quota) revoke(s *teamState, b *ownerState, requester string, now int64) bool {
	outstanding := false
	b.bucket.VisitHolders(func(holder string) {
		if holder == requester {
			return
		}
		outstanding = true
		if r := b.revocations[holder]; r.due(now) {
			b.revocations[holder] = revocation{sentAt: now, empty: r.empty, awaitingReport: true}
			q.post(holder, message{Kind: kindRevoke, Team: s.team.Name, EpochID: b.epochID})
		}
	})
	return outstanding
}

// tickOwner does what is due at the owner.
func (q *Quota) tickOwner(s *teamState, now int64) {
	if s.owner == nil {
		return
	}
	b := q.currentOwnerState(s)
	if b == nil {
		return
	}
	q.servePending(s, b, now)
	if now-b.expiryCheckedAt >= expiryCheckMillis {
		b.expiryCheckedAt = now
		b.bucket.ExpireGrants(now)
	}
}
