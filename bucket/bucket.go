// Package bucket keeps the tokens of one team at the node that owns them.
//
// The owner grants tokens to holders. At every moment the tokens in the bucket
// and those granted but perhaps not used yet are together at most Burst, and
// they grow by at most Rate per second. So in every time window at most Burst +
// Rate x length tokens are used, on whichever nodes.
package bucket

import (
	"maps"
	"slices"

	"bergamotloom.example/team"
)

const (
	millisPerSecond = 1000
	// fillFraction is the fraction of the rate at which the bucket fills. So an
	// owner whose clock is up to 500 ppm too fast, the max slew rate of time
	// synchronisation, still grants no more than the rate.
	fillFraction = 1 - 500e-6
	// idleAccountMillis is how long the last sequence number of an idle holder is
	// kept. It's longer than any message can be delayed.
	idleAccountMillis = 600_000
)

// account is the owner's state of one holder of grants.
type account struct {
	incarnation int64
	// seq is the sequence number of the holder's last report.
	seq int64
	// used is the holder's own count of used tokens in that report, without
	// urgent ones.
	used int64
	// outstanding is how many granted tokens may still be used, until the time
	// expires.
	outstanding int64
	expires     int64
	// urgent is how many of the outstanding tokens were granted for waiting
	// requests; they are void after urgentExpires.
	urgent        int64
	urgentExpires int64
}

// Bucket is a token bucket with accounts of the holders of its grants. It isn't
// safe for concurrent use. All times are milliseconds of one clock.
type Bucket struct {
	// rate is in tokens per second, burst and level are in tokens. filledAt may be
	// in the future in a new bucket.
	rate              float64
	burst             float64
	level             float64
	filledAt          int64
	outstandingMillis int64
	outstanding       int64
	accounts          map[string]*account
}

// New returns a bucket with level tokens that starts to fill at startMillis,
// which may be in the future. A grant stays outstanding for outstandingMillis
// unless its holder reports on it earlier.
func New(t team.Team, level float64, startMillis, outstandingMillis int64) *Bucket {
	return &Bucket{
		rate:              t.Rate,
		burst:             t.Burst,
		level:             min(level, t.Burst),
		filledAt:          startMillis,
		outstandingMillis: outstandingMillis,
		accounts:          make(map[string]*account),
	}
}

// SetTeam changes the rate and burst. Outstanding grants remain valid; the bucket
// doesn't fill while they exceed the new burst.
func (b *Bucket) SetTeam(t team.Team, now int64) {
	b.fill(now)
	b.rate, b.burst = t.Rate, t.Burst
}

// Report records a holder's report: how many tokens it has used in total, not
// counting urgent ones, and how many it has left. It returns false for a
// duplicate or outdated report, which must not be responded to. The holder must
// have abandoned every grant that it hadn't received when it sent the report, so
// tokens that are neither used nor left go back into the bucket; returned is
// their number.
func (b *Bucket) Report(holder string, incarnation, seq, used, left, now int64) (returned int64, ok bool) {
	b.fill(now)
	a := b.accounts[holder]
	switch {
	case a == nil || incarnation > a.incarnation:
		b.CloseAccount(holder, incarnation)
		a = &account{incarnation: incarnation, used: used}
		b.accounts[holder] = a
	case incarnation < a.incarnation || seq <= a.seq:
		return 0, false
	}
	// Urgent tokens of earlier grants were used on arrival or are void.
	b.dropUrgent(a)
	left = min(left, a.outstanding)
	newlyUsed := max(used-a.used, 0)
	unused := max(a.outstanding-left-newlyUsed, 0)
	b.outstanding -= a.outstanding - left
	a.seq, a.used, a.outstanding = seq, used, left
	a.expires = now + b.outstandingMillis
	b.level = min(b.level+float64(unused), b.headroom())
	return unused, true
}

// Grant moves up to want tokens from the bucket to a holder that has just
// reported, and returns how many.
func (b *Bucket) Grant(holder string, want, now int64) int64 {
	b.fill(now)
	a := b.accounts[holder]
	if a == nil {
		return 0
	}
	granted := max(min(want, int64(b.level)), 0)
	b.level -= float64(granted)
	b.outstanding += granted
	a.outstanding += granted
	a.expires = now + b.outstandingMillis
	return granted
}

// GrantUrgent is like Grant, for waiting requests. Such tokens are used on
// arrival, within urgentMillis, or never. So they reduce the headroom under the
// burst for no longer than that, though the holder reports them later.
func (b *Bucket) GrantUrgent(holder string, want, urgentMillis, now int64) int64 {
	granted := b.Grant(holder, want, now)
	if granted > 0 {
		a := b.accounts[holder]
		a.urgent += granted
		a.urgentExpires = now + urgentMillis
	}
	return granted
}

// Refund puts tokens back into the bucket that were granted but never sent to the
// holder. It's called after the holder's next report was recorded, which has removed
// the tokens from the outstanding ones.
func (b *Bucket) Refund(tokens, now int64) {
	b.fill(now)
	b.level = min(b.level+float64(tokens), b.headroom())
}

// Level returns how many tokens are in the bucket.
func (b *Bucket) Level(now int64) float64 {
	b.fill(now)
	return b.level
}

// Outstanding returns how many tokens are granted and perhaps not used yet.
func (b *Bucket) Outstanding() int64 {
	return b.outstanding
}

// VisitHolders calls visit for each holder with outstanding tokens, sorted by name.
func (b *Bucket) VisitHolders(visit func(holder string)) {
	for _, h := range slices.Sorted(maps.Keys(b.accounts)) {
		if b.accounts[h].outstanding > 0 {
			visit(h)
		}
	}
}

// AccountCount returns the number of holders with an account.
func (b *Bucket) AccountCount() int {
	return len(b.accounts)
}

// MillisUntilToken returns the milliseconds until the bucket has one token. It
// returns 0 if the bucket has one, or if the rate is 0.
func (b *Bucket) MillisUntilToken(now int64) int64 {
	b.fill(now)
	if b.level >= 1 || b.rate <= 0 {
		return 0
	}
	wait := int64((1-b.level)*millisPerSecond/b.rate) + 1
	return wait + max(b.filledAt-now, 0)
}

// CloseAccount removes the account of a holder if its incarnation is below the
// given one, because that incarnation is dead and can't use tokens any more.
// Whether its tokens were used is unknown, so they don't go back into the bucket.
func (b *Bucket) CloseAccount(holder string, belowIncarnation int64) {
	a := b.accounts[holder]
	if a == nil || a.incarnation >= belowIncarnation {
		return
	}
	b.outstanding -= a.outstanding
	delete(b.accounts, holder)
}

// dropUrgent no longer counts urgent tokens as outstanding: they are used or
// void.
func (b *Bucket) dropUrgent(a *account) {
	b.outstanding -= a.urgent
	a.outstanding -= a.urgent
	a.urgent = 0
}

// ExpireGrants drops expired grants and long idle accounts. It's called
// periodically.
func (b *Bucket) ExpireGrants(now int64) {
	b.fill(now)
	for h, a := range b.accounts {
		if now > a.urgentExpires {
			b.dropUrgent(a)
		}
		if now <= a.expires {
			continue
		}
		b.outstanding -= a.outstanding
		a.outstanding, a.urgent = 0, 0
		if now > a.expires+idleAccountMillis {
			delete(b.accounts, h)
		}
	}
}

// headroom is the max level of the bucket beside the outstanding grants.
func (b *Bucket) headroom() float64 {
	return max(b.burst-float64(b.outstanding), 0)
}

func (b *Bucket) fill(now int64) {
	if now <= b.filledAt {
		return
	}
	filled := b.rate * fillFraction * float64(now-b.filledAt) / millisPerSecond
	b.level = min(b.level+filled, b.headroom())
	b.filledAt = now
}
