// Package tokens keeps the tokens that one node holds of one team, and decides
// when to ask the team's home for more.
package tokens

const (
	millisPerSecond = 1000
	// tokenMillis is how long granted tokens may be used, counted on the
	// holder's clock from the moment when it sent the ask.
	tokenMillis = 1200
	// urgentMillis is how long tokens for waiting requests may be used, counted
	// like tokenMillis.
	urgentMillis = 50
	// refreshMillis is the age at which tokens of a team in use are renewed.
	refreshMillis = 800
	// aheadMillis is the time for which a holder fetches tokens ahead.
	aheadMillis = 800
	// idleMillis after its last use a team is no longer fetched ahead.
	idleMillis = 3000
	// rateMillis is the time over which the rate of use is averaged.
	rateMillis = 1000
	// rationMillis is the wait before tokens are fetched ahead again after the
	// home gave fewer than asked, or recalled them.
	rationMillis = 100
	// mostShorts bounds the doublings of patience after answers that there's
	// nothing to be had, mostShortMillis the patience that they lead to.
	mostShorts      = 4
	mostShortMillis = 200
	// leastPatienceMillis and mostPatienceMillis bound the wait for an answer
	// before the ask is given up for a new one.
	leastPatienceMillis = 14
	mostPatienceMillis  = 400
	// roundTrips is the patience in multiples of the last round trip.
	roundTrips = 4
)

// Tokens holds tokens under one term of a home. It isn't safe for concurrent
// use. All times are milliseconds of one clock.
type Tokens struct {
	balance int64
	expires int64
	used    int64

	seq      int64
	askedAt  int64
	open     bool
	patience int64
	failures int

	perSecond float64
	counted   int64
	countedAt int64
	usedAt    int64
	shortTill int64
	aheadFrom int64
	ahead     int64
	// full is the balance after the last grant.
	full int64
	// shorts grows with answers that there was nothing to be had.
	shorts int
}

// New returns an empty purse. Asks are numbered from seq upwards.
func New(seq, now int64) *Tokens {
	return &Tokens{seq: seq, patience: leastPatienceMillis, countedAt: now, usedAt: now - idleMillis}
}

// TokenLifetimeMillis returns how long a token lives on its holder's clock.
func (p *Tokens) TokenLifetimeMillis() int64 {
	return tokenMillis
}

// CountRequest notes that a request came, for the average rate of requests.
func (p *Tokens) CountRequest(now int64) {
	p.usedAt = now
	p.counted++
}

// Take uses one token if there is one.
func (p *Tokens) Take(now int64) bool {
	if p.balance <= 0 || now >= p.expires {
		return false
	}
	p.balance--
	p.used++
	return true
}

// Exhausted tells whether the home has said that there is nothing to be had yet,
// and for how many milliseconds.
func (p *Tokens) Exhausted(now int64) (int64, bool) {
	return p.shortTill - now, now < p.shortTill
}

// ShouldRequest tells whether it's time to ask, for waiting requests or ahead of use.
func (p *Tokens) ShouldRequest(waiting int, now int64) bool {
	if p.open {
		if now-p.askedAt < p.patience {
			return false
		}
		p.fail()
	}
	if _, short := p.Exhausted(now); short {
		return false
	}
	if waiting > 0 {
		return true
	}
	if p.failures > 0 && now-p.askedAt < p.patience {
		return false
	}
	target := p.target(now)
	if target == 0 || now < p.aheadFrom || p.usedAt < p.askedAt {
		return false
	}
	least := (min(target, max(p.full, 1)) + 2) / 3
	return p.left(now) < least || p.old(now)
}

// old tells whether the tokens should be renewed before they expire.
func (p *Tokens) old(now int64) bool {
	return p.expires-now < tokenMillis-refreshMillis
}

// ShouldReturn tells whether the purse holds tokens that should go back to the home:
// they are about to expire, and none was used since they were granted.
func (p *Tokens) ShouldReturn(now int64) bool {
	return p.left(now) > 0 && p.old(now) && p.usedAt < p.askedAt && !p.open
}

// ReportingEmpty tells whether an ask is under way that says that nothing is left.
func (p *Tokens) ReportingEmpty() bool {
	return p.open && p.balance == 0
}

// Return empties the purse, and returns the number and the uses for a message
// that tells the home so. Nobody answers it.
func (p *Tokens) Return(now int64) (seq, used int64) {
	p.Release(now)
	p.open = false
	p.seq++
	return p.seq, p.used
}

// BeginRequest opens a new ask and returns its number, the uses so far, the tokens left
// and how many more are wanted ahead of use. Grants of earlier asks are void
// from now on.
func (p *Tokens) BeginRequest(now int64) (seq, used, left, ahead int64) {
	p.settle(now)
	p.seq++
	p.askedAt = now
	p.open = true
	p.ahead = 0
	if now >= p.aheadFrom {
		p.ahead = max(p.target(now)-p.balance, 0)
	}
	return p.seq, p.used, p.balance, p.ahead
}

// HandleGrant takes in the answer to the ask with this number and tells whether it
// was the one awaited. Ahead are tokens to keep; of the urgent ones it returns
// how many requests that wait may use now, waiting at most. The others of them
// are void. With shortMillis above 0 the home has no more for so long.
func (p *Tokens) HandleGrant(seq, ahead, urgent, waiting, shortMillis, now int64) (served int64, ok bool) {
	if !p.answered(seq, shortMillis, now) {
		return 0, false
	}
	p.settle(now)
	p.expires = p.askedAt + tokenMillis
	p.balance += ahead
	p.settle(now)
	p.full = p.balance
	if ahead < p.ahead {
		p.aheadFrom = now + rationMillis
	}
	if now-p.askedAt >= urgentMillis {
		return 0, true
	}
	return min(urgent, waiting), true
}

// IsPending tells whether the answer to the ask with this number is awaited.
func (p *Tokens) IsPending(seq int64) bool {
	return p.open && seq == p.seq
}

// HandleRefusal takes in the answer of a home that may not grant yet. The tokens at
// hand keep their own expiry.
func (p *Tokens) HandleRefusal(seq, shortMillis, now int64) bool {
	return p.answered(seq, shortMillis, now)
}

func (p *Tokens) answered(seq, shortMillis, now int64) bool {
	if !p.IsPending(seq) {
		return false
	}
	p.open = false
	p.failures = 0
	p.patience = max(roundTrips*(now-p.askedAt), leastPatienceMillis)
	p.backOff(shortMillis, now)
	return true
}

// backOff stretches the patience that the home asks for while its answers keep
// being that there's nothing to be had.
func (p *Tokens) backOff(shortMillis, now int64) {
	if shortMillis <= 0 {
		p.shorts = max(p.shorts-1, 0)
		return
	}
	p.shortTill = now + min(shortMillis<<p.shorts, max(shortMillis, mostShortMillis))
	p.shorts = min(p.shorts+2, mostShorts)
}

// Release empties the purse for a home that recalls its tokens; the next ask
// then reports nothing left.
func (p *Tokens) Release(now int64) {
	p.balance = 0
	p.aheadFrom = now + rationMillis
}

// Discard empties the purse of another reign's tokens.
func (p *Tokens) Discard() {
	p.balance = 0
}

// AbandonRequest gives up the open ask, because another node is home now.
func (p *Tokens) AbandonRequest() {
	p.open = false
	p.failures = 0
	p.patience = leastPatienceMillis
}

// UnansweredRequests returns how many asks in a row got no answer.
func (p *Tokens) UnansweredRequests() int {
	return p.failures
}

func (p *Tokens) fail() {
	p.open = false
	p.failures++
	p.patience = min(2*p.patience, mostPatienceMillis)
}

// left is what may still be used.
func (p *Tokens) left(now int64) int64 {
	if now >= p.expires {
		return 0
	}
	return p.balance
}

// settle drops tokens that have expired.
func (p *Tokens) settle(now int64) {
	p.balance = p.left(now)
}

// Tick keeps the average rate of requests up to date.
func (p *Tokens) Tick(now int64) {
	passed := now - p.countedAt
	if passed < rateMillis/10 {
		return
	}
	weight := min(float64(passed)/rateMillis, 1)
	recent := float64(p.counted) * millisPerSecond / float64(passed)
	p.perSecond += weight * (recent - p.perSecond)
	p.counted, p.countedAt = 0, now
}

func (p *Tokens) target(now int64) int64 {
	if now-p.usedAt >= idleMillis {
		return 0
	}
	return max(int64(p.perSecond*aheadMillis/millisPerSecond), 1)
}
