// Package tokens keeps the tokens that one node holds for one team, and decides
// when to request more from the team's owner.
package tokens

const (
	millisPerSecond = 1000
	// tokenMillis is the lifetime of granted tokens, counted on the holder's
	// clock from when it sent the token request.
	tokenMillis = 1200
	// urgentMillis is the lifetime of tokens for waiting requests, counted like
	// tokenMillis.
	urgentMillis = 50
	// refreshMillis is the age at which the tokens of an active team are renewed.
	refreshMillis = 800
	// prefetchMillis is the time for which a holder prefetches tokens.
	prefetchMillis = 800
	// idleMillis after its last request no more tokens are prefetched for a team.
	idleMillis = 3000
	// rateMillis is the time over which the rate of requests is averaged.
	rateMillis = 1000
	// prefetchDelayMillis is the delay before tokens are prefetched again after
	// the owner granted fewer than requested, or revoked them.
	prefetchDelayMillis = 100
	// maxBackoffDoublings bounds the doublings of the retry delay after responses
	// without tokens, maxBackoffMillis the delay that they lead to.
	maxBackoffDoublings = 4
	maxBackoffMillis    = 200
	// minTimeoutMillis and maxTimeoutMillis bound the wait for a response before
	// the token request is replaced by a new one.
	minTimeoutMillis = 14
	maxTimeoutMillis = 400
	// timeoutRoundTrips is the timeout in multiples of the last round trip.
	timeoutRoundTrips = 4
)

// Tokens holds the tokens of one epoch of an owner. It isn't safe for concurrent
// use. All times are milliseconds of one clock.
type Tokens struct {
	balance int64
	expires int64
	used    int64

	seq           int64
	requestedAt   int64
	pending       bool
	timeoutMillis int64
	unanswered    int

	requestsPerSecond float64
	requestCount      int64
	countedAt         int64
	lastRequestAt     int64
	exhaustedUntil    int64
	prefetchAfter     int64
	prefetch          int64
	// grantedBalance is the balance after the last grant.
	grantedBalance int64
	// backoff is the number of doublings of the retry delay; it grows with
	// responses without tokens.
	backoff int
}

// New returns an empty Tokens. Token requests are numbered from seq upwards.
func New(seq, now int64) *Tokens {
	return &Tokens{seq: seq, timeoutMillis: minTimeoutMillis, countedAt: now, lastRequestAt: now - idleMillis}
}

// TokenLifetimeMillis returns the lifetime of a token on its holder's clock.
func (t *Tokens) TokenLifetimeMillis() int64 {
	return tokenMillis
}

// CountArrival counts a request for the average rate of requests.
func (t *Tokens) CountArrival(now int64) {
	t.lastRequestAt = now
	t.requestCount++
}

// Take uses one token, and returns false if there is none.
func (t *Tokens) Take(now int64) bool {
	if t.balance <= 0 || now >= t.expires {
		return false
	}
	t.balance--
	t.used++
	return true
}

// Exhausted reports whether the owner said that it has no tokens to grant yet,
// and for how many more milliseconds that holds.
func (t *Tokens) Exhausted(now int64) (int64, bool) {
	return t.exhaustedUntil - now, now < t.exhaustedUntil
}

// ShouldRequest reports whether a token request is due, for waiting requests or
// to prefetch.
func (t *Tokens) ShouldRequest(waiting int, now int64) bool {
	if t.pending {
		if now-t.requestedAt < t.timeoutMillis {
			return false
		}
		t.timeOut()
	}
	if _, exhausted := t.Exhausted(now); exhausted {
		return false
	}
	if waiting > 0 {
		return true
	}
	if t.unanswered > 0 && now-t.requestedAt < t.timeoutMillis {
		return false
	}
	prefetchTarget := t.prefetchTarget(now)
	if prefetchTarget == 0 || now < t.prefetchAfter || t.lastRequestAt < t.requestedAt {
		return false
	}
	minTokens := (min(prefetchTarget, max(t.grantedBalance, 1)) + 2) / 3
	return t.left(now) < minTokens || t.expiresSoon(now)
}

// expiresSoon reports whether the tokens should be renewed before they expire.
func (t *Tokens) expiresSoon(now int64) bool {
	return t.expires-now < tokenMillis-refreshMillis
}

// ShouldReturn reports whether the tokens should be returned to the owner: they
// are about to expire, and no request came since they were requested.
func (t *Tokens) ShouldReturn(now int64) bool {
	return t.left(now) > 0 && t.expiresSoon(now) && t.lastRequestAt < t.requestedAt && !t.pending
}

// ReportingEmpty reports whether a token request is pending that says that no
// tokens are left.
func (t *Tokens) ReportingEmpty() bool {
	return t.pending && t.balance == 0
}

// Return drops all tokens, and returns the sequence number and the count of used
// tokens for the message that reports this to the owner. It gets no response.
func (t *Tokens) Return(now int64) (seq, used int64) {
	t.dropForReturn(now)
	t.pending = false
	t.seq++
	return t.seq, t.used
}

// BeginRequest begins a new token request and returns its sequence number, the
// count of used tokens, the tokens left and how many to prefetch. Grants for
// earlier token requests are void from now on.
func (t *Tokens) BeginRequest(now int64) (seq, used, left, prefetch int64) {
	t.dropExpired(now)
	t.seq++
	t.requestedAt = now
	t.pending = true
	t.prefetch = 0
	if now >= t.prefetchAfter {
		t.prefetch = max(t.prefetchTarget(now)-t.balance, 0)
	}
	return t.seq, t.used, t.balance, t.prefetch
}

// HandleGrant takes the response to the token request with this sequence number
// and reports whether it was pending. The prefetched tokens are kept. Of the
// urgent ones it returns how many the waiting requests may use now; the others
// are void. With retryMillis above 0 the owner has no more tokens for so long.
func (t *Tokens) HandleGrant(seq, prefetch, urgent, waiting, retryMillis, now int64) (served int64, ok bool) {
	if !t.handleResponse(seq, retryMillis, now) {
		return 0, false
	}
	t.dropExpired(now)
	t.expires = t.requestedAt + tokenMillis
	t.balance += prefetch
	t.dropExpired(now)
	t.grantedBalance = t.balance
	if prefetch < t.prefetch {
		t.prefetchAfter = now + prefetchDelayMillis
	}
	if now-t.requestedAt >= urgentMillis {
		return 0, true
	}
	return min(urgent, waiting), true
}

// IsPending reports whether the token request with this sequence number waits for
// its response.
func (t *Tokens) IsPending(seq int64) bool {
	return t.pending && seq == t.seq
}

// HandleRefusal takes the response of an owner that may not grant tokens yet. The
// expiry of the held tokens doesn't change.
func (t *Tokens) HandleRefusal(seq, retryMillis, now int64) bool {
	return t.handleResponse(seq, retryMillis, now)
}

func (t *Tokens) handleResponse(seq, retryMillis, now int64) bool {
	if !t.IsPending(seq) {
		return false
	}
	t.pending = false
	t.unanswered = 0
	t.timeoutMillis = max(timeoutRoundTrips*(now-t.requestedAt), minTimeoutMillis)
	t.backOff(retryMillis, now)
	return true
}

// backOff lengthens the retry delay that the owner asks for while its responses
// contain no tokens repeatedly.
func (t *Tokens) backOff(retryMillis, now int64) {
	if retryMillis <= 0 {
		t.backoff = max(t.backoff-1, 0)
		return
	}
	t.exhaustedUntil = now + min(retryMillis<<t.backoff, max(retryMillis, maxBackoffMillis))
	t.backoff = min(t.backoff+2, maxBackoffDoublings)
}

// dropForReturn drops all tokens because they are returned to the owner; the next token
// request then reports that none are left.
func (t *Tokens) dropForReturn(now int64) {
	t.balance = 0
	t.prefetchAfter = now + prefetchDelayMillis
}

// Discard drops all tokens because they are of another epoch.
func (t *Tokens) Discard() {
	t.balance = 0
}

// AbandonRequest ends the pending token request because the owner changed.
func (t *Tokens) AbandonRequest() {
	t.pending = false
	t.unanswered = 0
	t.timeoutMillis = minTimeoutMillis
}

// UnansweredRequests returns how many token requests in a row got no response.
func (t *Tokens) UnansweredRequests() int {
	return t.unanswered
}

func (t *Tokens) timeOut() {
	t.pending = false
	t.unanswered++
	t.timeoutMillis = min(2*t.timeoutMillis, maxTimeoutMillis)
}

// left returns the number of tokens that may still be used.
func (t *Tokens) left(now int64) int64 {
	if now >= t.expires {
		return 0
	}
	return t.balance
}

// dropExpired drops the tokens if they have expired.
func (t *Tokens) dropExpired(now int64) {
	t.balance = t.left(now)
}

// Tick updates the average rate of requests.
func (t *Tokens) Tick(now int64) {
	elapsedMillis := now - t.countedAt
	if elapsedMillis < rateMillis/10 {
		return
	}
	smoothingFactor := min(float64(elapsedMillis)/rateMillis, 1)
	currentRate := float64(t.requestCount) * millisPerSecond / float64(elapsedMillis)
	t.requestsPerSecond += smoothingFactor * (currentRate - t.requestsPerSecond)
	t.requestCount, t.countedAt = 0, now
}

func (t *Tokens) prefetchTarget(now int64) int64 {
	if now-t.lastRequestAt >= idleMillis {
		return 0
	}
	return max(int64(t.requestsPerSecond*prefetchMillis/millisPerSecond), 1)
}
