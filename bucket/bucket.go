// Package bucket keeps the tokens of one team at the team's home node.
//
// The home gives tokens out in grants. At every moment the tokens still in the
// bucket and those granted but perhaps not yet used are together at most
// Burst, and they grow by at most Rate a second. So every window sees at most
// Burst + Rate x length uses, wherever the tokens are used.
package bucket

import (
	"maps"
	"slices"

	"bergamotloom.example/team"
)

const (
	millisPerSecond = 1000
	// keptPart of the rate is filled in, so that a home whose clock runs fast
	// by up to 500 parts in a million, as fast as time synchronisation slews
	// it, gives no more than the rate.
	keptPart = 1 - 500e-6
	// accountMillis is how long an idle holder's ask number is remembered.
	// It's longer than a message can be under way.
	accountMillis = 600_000
)

// account is what the home knows of one holder of grants.
type account struct {
	incarnation int64
	// seq is the number of the last ask that was answered.
	seq int64
	// used is the holder's own count of uses, as of that ask.
	used int64
	// outstanding tokens may still be used until expires.
	outstanding int64
	expires     int64
	// urgent of the outstanding tokens are used before urgentTill, or never.
	urgent     int64
	urgentTill int64
}

// Bucket is a token bucket with the accounts of those who hold grants from it.
// It isn't safe for concurrent use. All times are milliseconds of one clock.
type Bucket struct {
	rate        float64
	burst       float64
	level       float64
	filledAt    int64
	keepMillis  int64
	outstanding int64
	accounts    map[string]*account
}

// New returns a bucket with level tokens that starts to fill at startMillis,
// which may lie ahead. A grant stays outstanding for keepMillis unless its
// holder reports on it before.
func New(t team.Team, level float64, startMillis, keepMillis int64) *Bucket {
	return &Bucket{
		rate:       t.Rate,
		burst:      t.Burst,
		level:      min(level, t.Burst),
		filledAt:   startMillis,
		keepMillis: keepMillis,
		accounts:   make(map[string]*account),
	}
}

// SetTeam puts another rate and burst in force. Grants that are out stay out;
// the bucket doesn't fill until they fit under the new burst.
func (b *Bucket) SetTeam(t team.Team, now int64) {
	b.fill(now)
	b.rate, b.burst = t.Rate, t.Burst
}

// Report takes in what a holder says with its ask: how many tokens it has used
// in all, not counting urgent ones, and how many it has left. It returns false for an ask that is a
// repeat or came late, which must not be answered. The holder must have given
// up every grant that it hadn't received when it sent the ask, so tokens that
// were neither used nor left go back into the bucket; returned is their number.
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
	spent := max(used-a.used, 0)
	unused := max(a.outstanding-left-spent, 0)
	b.outstanding -= a.outstanding - left
	a.seq, a.used, a.outstanding = seq, used, left
	a.expires = now + b.keepMillis
	b.level = min(b.level+float64(unused), b.room())
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
	a.expires = now + b.keepMillis
	return granted
}

// GrantUrgent is like Grant for requests that wait. Such tokens are used when
// they arrive and before urgentMillis have passed, or never; so they take room
// from the burst for no longer, though the holder reports them later.
func (b *Bucket) GrantUrgent(holder string, want, urgentMillis, now int64) int64 {
	granted := b.Grant(holder, want, now)
	if granted > 0 {
		a := b.accounts[holder]
		a.urgent += granted
		a.urgentTill = now + urgentMillis
	}
	return granted
}

// Refund puts tokens back that were granted but never sent to the holder. It's
// called after the holder's next report.
func (b *Bucket) Refund(tokens, now int64) {
	b.fill(now)
	b.level = min(b.level+float64(tokens), b.room())
}

// Level returns how many tokens are in the bucket.
func (b *Bucket) Level(now int64) float64 {
	b.fill(now)
	return b.level
}

// Outstanding returns how many tokens are granted and perhaps not yet used.
func (b *Bucket) Outstanding() int64 {
	return b.outstanding
}

// Holders calls visit for each holder with outstanding tokens, in the order of
// their names.
func (b *Bucket) Holders(visit func(holder string)) {
	for _, h := range slices.Sorted(maps.Keys(b.accounts)) {
		if b.accounts[h].outstanding > 0 {
			visit(h)
		}
	}
}

// HolderCount returns the number of holders with an account.
func (b *Bucket) HolderCount() int {
	return len(b.accounts)
}

// MillisUntilToken returns the time until the bucket has one token.
func (b *Bucket) MillisUntilToken(now int64) int64 {
	b.fill(now)
	if b.level >= 1 || b.rate <= 0 {
		return 0
	}
	wait := int64((1-b.level)*millisPerSecond/b.rate) + 1
	return wait + max(b.filledAt-now, 0)
}

// CloseAccount ends the account of a holder whose incarnation is gone: its tokens
// can't be used any more. Whether they were used isn't known, so they don't go
// back into the bucket.
func (b *Bucket) CloseAccount(holder string, before int64) {
	a := b.accounts[holder]
	if a == nil || a.incarnation >= before {
		return
	}
	b.outstanding -= a.outstanding
	delete(b.accounts, holder)
}

// dropUrgent takes urgent tokens for used or void.
func (b *Bucket) dropUrgent(a *account) {
	b.outstanding -= a.urgent
	a.outstanding -= a.urgent
	a.urgent = 0
}

// ExpireGrants forgets grants that have expired. It's called now and then.
func (b *Bucket) ExpireGrants(now int64) {
	b.fill(now)
	for h, a := range b.accounts {
		if now > a.urgentTill {
			b.dropUrgent(a)
		}
		if now <= a.expires {
			continue
		}
		b.outstanding -= a.outstanding
		a.outstanding, a.urgent = 0, 0
		if now > a.expires+accountMillis {
			delete(b.accounts, h)
		}
	}
}

// room is the most that the bucket may hold beside the outstanding grants.
func (b *Bucket) room() float64 {
	return max(b.burst-float64(b.outstanding), 0)
}

func (b *Bucket) fill(now int64) {
	if now <= b.filledAt {
		return
	}
	gained := b.rate * keptPart * float64(now-b.filledAt) / millisPerSecond
	b.level = min(b.level+gained, b.room())
	b.filledAt = now
}
