// Package tokens keeps the tokens that one node holds for one team, and decides
// when to request more from the team's owner.
package tokens

const (
	millisPerSecond = 1000
	// tokenMillis is the lifetime of granted tokens, counted on the holder's
	// clock from when it sent the token request.
	tokenMillis = 1200
	// urgentTokenMillis is the lifetime of tokens for waiting requests, counted like
	// tokenMillis.
	urgentTokenMillis = 50
	// refreshMillis is the age at which the tokens of an active team are renewed.
	refreshMillis = 800
	// prefetchMillis is how long the prefetched tokens should last at the average
	// rate of requests.
	prefetchMillis = 800
	// idleMillis after its last request no more tokens are prefetched for a team.
	idleMillis = 3000
	// rateAveragingMillis is the time over which the rate of requests is averaged;
	// it's sampled every tenth of it.
	rateAveragingMillis = 1000
	// prefetchDelayMillis is the delay before tokens are prefetched again after
	// the owner granted fewer than requested, or revoked them.
	prefetchDelayMillis = 100
	// maxBackoffDoublings bounds the doublings of the retry delay that the owner
	// sent, maxBackoffMillis the resulting delay.
	maxBackoffDoublings = 4
	maxBackoffMillis    = 200
	// minTimeoutMillis and maxTimeoutMillis bound the wait for a response before
	// the token request is replaced by a new one.
	minTimeoutMillis = 14
	maxTimeoutMillis = 400
	// timeoutRoundTrips is the timeout in multiples of the last round trip.
	timeoutRoundTrips = 4
)

// Tokens holds the tokens granted in one epoch of the owner. It isn't safe for concurrent
// use. All times are milliseconds of one clock.
type Tokens struct {
	balance int64
	expires int64
	used    int64

	seq               int64
	tokensRequestedAt int64
	pending           bool
	timeoutMillis     int64
	unanswered        int

	arrivalsPerSecond float64
	arrivalCount      int64
	countedAt         int64
	lastArrivalAt     int64
	exhaustedUntil    int64
	// requestAfter is until when no tokens are requested, as the owner can't grant
	// any yet.
	requestAfter      int64
	prefetchAfter     int64
	requestedPrefetch int64
	// grantedBalance is the balance after the last grant.
	grantedBalance int64
	// backoff is the number of doublings of the retry delay. It grows with
	// responses that contain a retry delay and shrinks with the others.
	backoff int
}

// New returns an empty Tokens. Token requests are numbered from seq upwards; seq must
// be above the numbers of an earlier Tokens of this node and team.
func New(seq, now int64) *Tokens {
	return &Tokens{seq: seq, timeoutMillis: minTimeoutMillis, countedAt: now, lastArrivalAt: now - idleMillis}
}

// TokenLifetimeMillis returns the lifetime of a token on its holder's clock.
func (t *Tokens) TokenLifetimeMillis() int64 {
	return tokenMillis
}

// CountArrival counts an arrived request for the average rate of requests.
func (t *Tokens) CountArrival(now int64) {
	t.lastArrivalAt = now
	t.arrivalCount++
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
		if now-t.tokensRequestedAt < t.timeoutMillis {
			return false
		}
		t.timeOut()
	}
	if _, exhausted := t.Exhausted(now); exhausted || now < t.requestAfter {
		return false
	}
	if waiting > 0 {
		return true
	}
	if t.unanswered > 0 && now-t.tokensRequestedAt < t.timeoutMillis {
		return false
	}
	prefetchTarget := t.prefetchTarget(now)
	if prefetchTarget == 0 || now < t.prefetchAfter || t.lastArrivalAt < t.tokensRequestedAt {
		return false
	}
	// Tokens are prefetched when less than a third, rounded up, is left.
	refillThreshold := (min(prefetchTarget, max(t.grantedBalance, 1)) + 2) / 3
	return t.left(now) < refillThreshold || t.expiresSoon(now)
}

// expiresSoon reports whether the tokens should be renewed before they expire.
func (t *Tokens) expiresSoon(now int64) bool {
	return t.expires-now < tokenMillis-refreshMillis
}

// ShouldReturn reports whether the tokens should be returned to the owner: they
// are about to expire, and no request arrived since the last token request.
func (t *Tokens) ShouldReturn(now int64) bool {
	return t.left(now) > 0 && t.expiresSoon(now) && t.lastArrivalAt < t.tokensRequestedAt && !t.pending
}

// ReportingEmpty reports whether a token request is pending that says that no
// tokens are left.
func (t *Tokens) ReportingEmpty() bool {
	return t.pending && t.balance == 0
}

// Return drops all tokens to return them to the owner, and delays prefetching. It
// returns the sequence number and the count of used tokens for the message to the
// owner, which gets no response.
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
	t.tokensRequestedAt = now
	t.pending = true
	t.requestedPrefetch = 0
	if now >= t.prefetchAfter {
		t.requestedPrefetch = max(t.prefetchTarget(now)-t.balance, 0)
	}
	return t.seq, t.used, t.balance, t.requestedPrefetch
}

// HandleGrant takes the response to the token request with this sequence number
// and reports whether it was pending. The prefetched tokens are kept. Of the
// urgent ones it returns how many the waiting requests may use now; the others
// are void. A retryMillis above 0 is the time for which the owner has no more
// tokens.
func (t *Tokens) HandleGrant(seq, prefetched, urgent, waiting, retryMillis, now int64) (served int64, ok bool) {
	if !t.handleResponse(seq, retryMillis, now) {
		return 0, false
	}
	t.dropExpired(now)
	t.expires = t.tokensRequestedAt + tokenMillis
	t.balance += prefetched
	t.dropExpired(now)
	t.grantedBalance = t.balance
	if prefetched < t.requestedPrefetch {
		t.prefetchAfter = now + prefetchDelayMillis
	}
	if now-t.tokensRequestedAt >= urgentTokenMillis {
		return 0, true
	}
	return min(urgent, waiting), true
}

// IsPending reports whether the token request with this sequence number waits for
// its response.
func (t *Tokens) IsPending(seq int64) bool {
	return t.pending && seq == t.seq
}

// HandleRefusal takes the response of an owner that may not grant tokens yet, and
// should be asked again in retryMillis. The expiry of the held tokens doesn't change.
func (t *Tokens) HandleRefusal(seq, retryMillis, now int64) {
	if t.handleResponse(seq, 0, now) {
		t.requestAfter = now + retryMillis
	}
}

func (t *Tokens) handleResponse(seq, retryMillis, now int64) bool {
	if !t.IsPending(seq) {
		return false
	}
	t.pending = false
	t.unanswered = 0
	t.timeoutMillis = max(timeoutRoundTrips*(now-t.tokensRequestedAt), minTimeoutMillis)
	t.backOff(retryMillis, now)
	return true
}

// backOff doubles the owner's retry delay backoff times.
// Backoff grows by 2 with each response with a retry delay, and shrinks by 1 with
// each other one.
func (t *Tokens) backOff(retryMillis, now int64) {
	if retryMillis <= 0 {
		t.backoff = max(t.backoff-1, 0)
		return
	}
	t.exhaustedUntil = now + min(retryMillis<<t.backoff, max(retryMillis, maxBackoffMillis))
	t.backoff = min(t.backoff+2, maxBackoffDoublings)
}

// dropForReturn drops all tokens because they are returned to the owner, and delays
// prefetching.
func (t *Tokens) dropForReturn(now int64) {
	t.balance = 0
	t.prefetchAfter = now + prefetchDelayMillis
}

// Discard drops all tokens because they are of another epoch. It doesn't delay
// prefetching.
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
	if elapsedMillis < rateAveragingMillis/10 {
		return
	}
	smoothingFactor := min(float64(elapsedMillis)/rateAveragingMillis, 1)
	currentRate := float64(t.arrivalCount) * millisPerSecond / float64(elapsedMillis)
	t.arrivalsPerSecond += smoothingFactor * (currentRate - t.arrivalsPerSecond)
	t.arrivalCount, t.countedAt = 0, now
}

func (t *Tokens) prefetchTarget(now int64) int64 {
	if now-t.lastArrivalAt >= idleMillis {
		return 0
	}
	return max(int64(t.arrivalsPerSecond*prefetchMillis/millisPerSecond), 1)
}
