package quota

// fetch asks the home for tokens if it's time to.
func (q *Quota) fetch(s *share, now int64) {
	home := s.lease.Owner()
	if home != s.askedHome {
		s.purse.AbandonRequest()
		s.askedHome = home
	}
	if home != "" && s.purse.ShouldReturn(now) {
		q.giveBack(s, home, now)
		return
	}
	if !s.purse.ShouldRequest(len(s.waiters), now) {
		return
	}
	if home == "" || s.purse.UnansweredRequests() >= lostAsks {
		q.search(s, now)
	}
	if home != "" {
		q.ask(s, home, now)
	}
}

func (q *Quota) ask(s *share, home string, now int64) {
	seq, used, left, ahead := s.purse.BeginRequest(now)
	q.post(home, message{
		Kind: kindAsk, Team: s.team.Name, Incarnation: q.incarnation, Stamp: s.stamp,
		Seq: seq, Version: s.lease.Version(), Used: used, Left: left,
		Need: int64(len(s.waiters)), Ahead: ahead,
	})
}

// giveBack returns the tokens that weren't used to the home.
func (q *Quota) giveBack(s *share, home string, now int64) {
	seq, used := s.purse.Return(now)
	q.post(home, message{
		Kind: kindReturn, Team: s.team.Name, Incarnation: q.incarnation, Stamp: s.stamp,
		Seq: seq, Version: s.lease.Version(), Used: used,
	})
}

// search asks the other members of the order, the nodes that would be chosen
// and one at random for a newer row, and the table too.
func (q *Quota) search(s *share, now int64) {
	if now-s.searchedAt < searchMillis {
		return
	}
	s.searchedAt = now
	asked := s.lease.Members()
	if len(asked) == 0 {
		asked = s.lease.Candidates(searchWidth)
	}
	if len(q.ids) > 0 {
		asked = append(asked, q.ids[q.random.IntN(len(q.ids))])
	}
	for _, id := range asked {
		if id != q.self {
			s.lease.RequestRow(id)
		}
	}
	s.lease.ReadRow()
}

// searchWidth is how many nodes are asked when no row is known.
const searchWidth = 3

// handleGrant takes the home's answer and serves the requests that wait.
func (q *Quota) handleGrant(s *share, m message, now int64) {
	if m.Stamp == 0 {
		if s.purse.HandleRefusal(m.Seq, m.ShortMillis, now) && m.ShortMillis > 0 {
			q.refuseAll(s, m.ShortMillis)
		}
		return
	}
	if !s.purse.IsPending(m.Seq) {
		return
	}
	if m.Stamp != s.stamp {
		// The tokens at hand are of another reign, which the home doesn't
		// count: they go.
		s.purse.Discard()
		s.stamp = m.Stamp
	}
	served, _ := s.purse.HandleGrant(m.Seq, m.Tokens, m.Urgent, int64(len(s.waiters)), m.ShortMillis, now)
	q.grant(s, int(served))
	q.serve(s, now)
	if m.ShortMillis > 0 {
		q.refuseAll(s, m.ShortMillis)
	}
	q.fetch(s, now)
}

// handleRecall gives all tokens of that reign back.
func (q *Quota) handleRecall(s *share, from string, m message, now int64) {
	if m.Stamp != s.stamp || from != s.lease.Owner() {
		return
	}
	if s.purse.ReportingEmpty() {
		return
	}
	q.giveBack(s, from, now)
	q.fetch(s, now)
}

// serve hands tokens to the requests that wait, the oldest first.
func (q *Quota) serve(s *share, now int64) {
	for len(s.waiters) > 0 && s.purse.Take(now) {
		q.grant(s, 1)
	}
}

// grant admits the n oldest requests that wait.
func (q *Quota) grant(s *share, n int) {
	for _, w := range s.waiters[:n] {
		q.calls = append(q.calls, call{w.done, true, 0})
	}
	s.waiters = s.waiters[n:]
}

// refuseAll refuses the requests that wait.
func (q *Quota) refuseAll(s *share, retryMillis int64) {
	for _, w := range s.waiters {
		q.calls = append(q.calls, call{w.done, false, retryMillis})
	}
	s.waiters = nil
}

// expire refuses the requests that waited too long.
func (q *Quota) expire(s *share, now int64) {
	for len(s.waiters) > 0 && now >= s.waiters[0].till {
		q.calls = append(q.calls, call{s.waiters[0].done, false, refusedMillis})
		s.waiters = s.waiters[1:]
	}
}
