package quota

import (
	"slices"

	"bergamotloom.example/bucket"
)

const (
	// keepMillis is how long a home counts a grant as outstanding: longer than
	// a token lives on its holder's clock, even if that clock runs slow.
	keepMillis = 1300
	// urgentMillis is the same for tokens of requests that wait: longer than
	// package purse lets them be used.
	urgentMillis = 110
	// sweepMillis is the time between two searches for grants that have ended.
	sweepMillis = 50
	// parkMillis is how long a home keeps an ask back while tokens are on
	// their way to it.
	parkMillis = 6
	// recallMillis is the least time between two recalls to one holder.
	recallMillis = 20
	// mostDry bounds the doublings of that time for a holder whose recalls
	// bring nothing.
	mostDry = 5
	// aheadPart is the part of the bucket that one ask may take ahead of use.
	aheadPart = 4
	// shortPerHolder spreads the asks of a team that has used up its rate, so
	// that the home gets at most so many milliseconds apart.
	shortPerHolder = 1
	// leastShortMillis and mostShortMillis bound the patience that the home
	// asks for.
	leastShortMillis = 5
	mostShortMillis  = 1000
	// quietShortMillis is the patience that a new home asks for while grants
	// of the last one may be in use.
	quietShortMillis = 50
)

// books is the state of the team's home during one reign.
type books struct {
	reign   int64
	stamp   int64
	starts  int64
	bucket  *bucket.Bucket
	parked  []parked
	recalls map[string]recall
	sweptAt int64
}

// parked is an ask that waits for tokens on their way to the home.
type parked struct {
	to      string
	seq     int64
	need    int64
	granted int64
	ahead   int64
	till    int64
}

// recall is the last recall to a holder.
type recall struct {
	sentAt int64
	open   bool
	// dry counts the recalls in a row that brought nothing.
	dry int
}

// due tells whether the holder may be asked again.
func (r recall) due(now int64) bool {
	return now-r.sentAt >= recallMillis<<r.dry
}

// answered notes what the holder returned.
func (r recall) answered(returned, now int64) recall {
	switch {
	case returned > 0:
		return recall{sentAt: r.sentAt}
	case r.open && now-r.sentAt < recallMillis<<r.dry:
		return recall{sentAt: r.sentAt, dry: min(r.dry+1, mostDry)}
	}
	return r
}

// open returns the books of the present reign, or nil if this node isn't the
// home.
func (q *Quota) open(s *share) *books {
	reign, quietMillis, first := s.lease.Epoch()
	if !s.lease.Acting() {
		return nil
	}
	if s.books != nil && s.books.reign == reign {
		return s.books
	}
	b := &books{
		reign:   reign,
		stamp:   q.incarnation<<16 | reign&0xffff,
		starts:  quietMillis + keepMillis,
		recalls: make(map[string]recall),
	}
	level := 0.0
	if first {
		// There never was another home, so nothing has been granted.
		level, b.starts = s.team.Burst, quietMillis
	}
	b.bucket = bucket.New(s.team, level, b.starts, keepMillis)
	s.books = b
	return b
}

// handleAsk answers a holder.
func (q *Quota) handleAsk(s *share, from string, m message, now int64) {
	if m.Version < s.lease.Version() {
		s.lease.SendRow(from)
	}
	b := q.open(s)
	if b == nil || now < b.starts {
		if s.lease.Owner() == q.self && m.Kind == kindAsk {
			q.post(from, message{
				Kind: kindGrant, Team: s.team.Name, Seq: m.Seq, ShortMillis: quietShortMillis,
			})
		}
		return
	}
	if m.Stamp != b.stamp {
		m.Left = 0
	}
	returned, ok := b.bucket.Report(from, m.Incarnation, m.Seq, m.Used, m.Left, now)
	if !ok {
		return
	}
	b.recalls[from] = b.recalls[from].answered(returned, now)
	if m.Kind == kindReturn {
		q.settle(s, b, now)
		return
	}
	b.unpark(from, now)
	q.settle(s, b, now)
	p := parked{to: from, seq: m.Seq, need: m.Need, till: now + parkMillis}
	p.take(b.bucket, now)
	if p.need > 0 && q.recall(s, b, from, now) {
		b.parked = append(b.parked, p)
		return
	}
	if p.need == 0 {
		p.ahead = b.bucket.Grant(from, min(m.Ahead, int64(b.bucket.Level(now)/aheadPart)), now)
		if p.ahead > 0 {
			// Now there is something to recall.
			delete(b.recalls, from)
		}
	}
	q.answer(s, b, p, now)
}

// unpark drops the holder's earlier ask, which it has given up, and puts back
// what was set aside for it.
func (b *books) unpark(holder string, now int64) {
	b.parked = slices.DeleteFunc(b.parked, func(p parked) bool {
		if p.to == holder {
			b.bucket.Refund(p.granted, now)
		}
		return p.to == holder
	})
}

// take moves what is needed and there from the bucket to the ask.
func (p *parked) take(b *bucket.Bucket, now int64) {
	n := b.GrantUrgent(p.to, p.need, urgentMillis, now)
	p.need -= n
	p.granted += n
}

// settle grants to the parked asks in their order and answers those that have
// all they need or waited long enough.
func (q *Quota) settle(s *share, b *books, now int64) {
	var still []parked
	for _, p := range b.parked {
		p.take(b.bucket, now)
		if p.need > 0 && now < p.till {
			still = append(still, p)
			continue
		}
		q.answer(s, b, p, now)
	}
	b.parked = still
}

func (q *Quota) answer(s *share, b *books, p parked, now int64) {
	m := message{
		Kind: kindGrant, Team: s.team.Name, Stamp: b.stamp, Seq: p.seq,
		Tokens: p.ahead, Urgent: p.granted,
	}
	if p.need > 0 {
		m.ShortMillis = q.short(b, now)
	}
	q.post(p.to, m)
}

// short is how long a holder should wait before it asks again.
func (q *Quota) short(b *books, now int64) int64 {
	wait := max(b.bucket.MillisUntilToken(now), int64(b.bucket.HolderCount())*shortPerHolder, leastShortMillis)
	return min(wait, mostShortMillis)
}

// recall asks the other holders for the tokens that they haven't used, and
// tells whether any are out.
func (q *Quota) recall(s *share, b *books, asker string, now int64) bool {
	out := false
	b.bucket.Holders(func(holder string) {
		if holder == asker {
			return
		}
		out = true
		if r := b.recalls[holder]; r.due(now) {
			b.recalls[holder] = recall{sentAt: now, dry: r.dry, open: true}
			q.post(holder, message{Kind: kindRecall, Team: s.team.Name, Stamp: b.stamp})
		}
	})
	return out
}

// keepBooks does what is due at the home.
func (q *Quota) keepBooks(s *share, now int64) {
	if s.books == nil {
		return
	}
	b := q.open(s)
	if b == nil {
		return
	}
	q.settle(s, b, now)
	if now-b.sweptAt >= sweepMillis {
		b.sweptAt = now
		b.bucket.ExpireGrants(now)
	}
}
