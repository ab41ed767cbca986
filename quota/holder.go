package quota

import "slices"

// requestIfNeeded requests tokens from the owner, or returns unused ones to it,
// if that is due.
func (q *Quota) requestIfNeeded(s *teamState, now int64) {
	owner := s.lease.Owner()
	if owner != s.requestedOwner {
		s.tokens.AbandonRequest()
		s.requestedOwner = owner
	}
	if owner != "" && s.tokens.ShouldReturn(now) {
		q.returnTokens(s, owner, now)
		return
	}
	if !s.tokens.ShouldRequest(len(s.waiters), now) {
		return
	}
	if owner == "" || s.tokens.UnansweredRequests() >= maxUnansweredRequests {
		q.search(s, now)
	}
	if owner != "" {
		q.sendRequest(s, owner, now)
	}
}

func (q *Quota) sendRequest(s *teamState, owner string, now int64) {
	seq, used, left, prefetch := s.tokens.BeginRequest(now)
	q.post(owner, message{
		Kind: kindRequest, Team: s.team.Name, Incarnation: q.incarnation, EpochID: s.epochID,
		Seq: seq, Version: s.lease.Version(), Used: used, Left: left,
		Need: int64(len(s.waiters)), Prefetch: prefetch,
	})
}

// returnTokens returns the unused tokens to the owner.
func (q *Quota) returnTokens(s *teamState, owner string, now int64) {
	seq, used := s.tokens.Return(now)
	q.post(owner, message{
		Kind: kindReturn, Team: s.team.Name, Incarnation: q.incarnation, EpochID: s.epochID,
		Seq: seq, Version: s.lease.Version(), Used: used,
	})
}

// search looks for a newer row of the team: it asks the members of the order of
// succession, or the candidates if none are known, one random node, and the
// table.
func (q *Quota) search(s *teamState, now int64) {
	if now-s.searchedAt < searchIntervalMillis {
		return
	}
	s.searchedAt = now
	peers := s.lease.Succession()
	if len(peers) == 0 {
		peers = s.lease.Candidates(searchCandidates)
	}
	if len(q.peerIDs) > 0 {
		peers = append(peers, q.peerIDs[q.random.IntN(len(q.peerIDs))])
	}
	for _, id := range peers {
		if id != q.self {
			s.lease.RequestRow(id)
		}
	}
	s.lease.ReadRow()
}

// searchCandidates is how many nodes are asked when no row is known.
const searchCandidates = 3

// handleGrant takes the owner's response and admits waiting requests.
func (q *Quota) handleGrant(s *teamState, m message, now int64) {
	if m.EpochID == 0 {
		// A new owner can't grant tokens yet.
		s.tokens.HandleRefusal(m.Seq, m.RetryMillis, now)
		return
	}
	if !s.tokens.IsPending(m.Seq) {
		return
	}
	s.waitedInVain = false
	if m.EpochID != s.epochID {
		// The held tokens are of another epoch, which the owner doesn't count,
		// so they are discarded.
		s.tokens.Discard()
		s.epochID = m.EpochID
	}
	admitted, _ := s.tokens.HandleGrant(m.Seq, m.Tokens, m.Urgent, int64(len(s.waiters)), m.RetryMillis, now)
	q.admit(s, int(admitted))
	q.admitWaiting(s, now)
	if m.RetryMillis > 0 {
		q.refuseAll(s, true, m.RetryMillis)
	}
	q.requestIfNeeded(s, now)
}

// handleRevoke returns all tokens of the epoch to the owner.
func (q *Quota) handleRevoke(s *teamState, from string, m message, now int64) {
	if m.EpochID != s.epochID || from != s.lease.Owner() {
		return
	}
	if s.tokens.ReportingEmpty() {
		return
	}
	q.returnTokens(s, from, now)
	q.requestIfNeeded(s, now)
}

// admitWaiting uses the held tokens for the waiting requests, oldest first.
func (q *Quota) admitWaiting(s *teamState, now int64) {
	for len(s.waiters) > 0 && s.tokens.Take(now) {
		q.admit(s, 1)
	}
}

// admit admits the n oldest waiting requests.
func (q *Quota) admit(s *teamState, n int) {
	for _, w := range s.waiters[:n] {
		q.outcomes = append(q.outcomes, outcome{done: w.done, granted: true})
	}
	s.waiters = s.waiters[n:]
}

// refuseAll refuses all waiting requests.
func (q *Quota) refuseAll(s *teamState, exhausted bool, retryMillis int64) {
	for _, w := range s.waiters {
		q.outcomes = append(q.outcomes, outcome{w.done, false, exhausted, retryMillis})
	}
	s.waiters = nil
}

// expire refuses the requests that have waited too long.
func (q *Quota) expire(s *teamState, now int64) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		if now < w.deadline {
			return false
		}
		s.waitedInVain = true
		q.outcomes = append(q.outcomes, outcome{w.done, false, false, unreachableRetryMillis})
		return true
	})
}
