// Package named follows the rate limit that a target names in its responses.
//
// The target itself is the source of its limit: it repeats the limit in every
// response, and a response without it ends the limit. A node that has just
// started doesn't know the limit yet. Until the first response it lets only a few
// requests run at once, or keeps the limit that a peer knows.
package named

import (
	"bergamotloom.example/advice"
	"bergamotloom.example/clock"
)

const (
	// confirmMillis is how long a limit holds without a response that names it.
	// Then the target counts as one whose limit isn't known.
	confirmMillis = 10_000
	// unknownRunning is how many requests may run at a target whose limit isn't
	// known.
	unknownRunning = 4
	// unknownMillis bounds that time, from the first request on: a target that
	// doesn't respond for so long has other troubles than its rate.
	unknownMillis = 3000
)

// The sources of a limit.
const (
	FromTarget = "Target"
	FromPeer   = "Peer"
)

// Named is the rate limit of one target. It isn't safe for concurrent use.
type Named struct {
	clock clock.Clock
	// known says that the target has responded, so that it's known whether it
	// names a limit.
	known bool
	// firstSentMillis is when the first request was sent while the limit wasn't
	// known, 0 if there was none.
	firstSentMillis float64
	limited         bool
	// rate is in requests per second.
	rate   float64
	source string
	// namedMillis is when the target last named the limit.
	namedMillis float64
}

// New returns the limit of a target that hasn't responded yet. Known says that it
// can't have named a limit to an earlier process of this node.
func New(c clock.Clock, known bool) *Named {
	return &Named{clock: c, known: known}
}

// Reset forgets the limit: another incarnation of the target has started, which
// has named none.
func (n *Named) Reset() {
	*n = Named{clock: n.clock, known: true}
}

// Sent records that a request is being sent to the target.
func (n *Named) Sent() {
	if !n.known && n.firstSentMillis == 0 {
		n.firstSentMillis = n.clock.Fine()
	}
}

// Heard follows what a response says. SentMillis is when its request was sent;
// ran tells whether the request ran. Only a run that began after the limit was
// last named can end it, as responses may overtake each other and refusals may
// lack the header.
func (n *Named) Heard(a advice.Advice, sentMillis float64, ran bool) {
	switch {
	case a.Limited:
		n.known, n.limited, n.rate, n.source = true, true, a.RateLimit, FromTarget
		n.namedMillis = n.clock.Fine()
	case !ran:
	case a.Malformed:
		n.known = true
	case sentMillis >= n.namedMillis:
		n.known, n.limited = true, false
	}
}

// Learn takes over the limit that a peer knows, if this node knows nothing of the
// target yet. AgeMillis is how long ago the target named it.
func (n *Named) Learn(rate, ageMillis float64) {
	if n.known || n.limited || ageMillis > confirmMillis {
		return
	}
	n.limited, n.rate, n.source = true, rate, FromPeer
	n.namedMillis = n.clock.Fine() - ageMillis
}

// Expire ends a limit that wasn't named for confirmMillis, and the time in which
// the limit isn't known. It's called several times a second.
func (n *Named) Expire() {
	now := n.clock.Fine()
	if n.limited && now-n.namedMillis > confirmMillis {
		n.limited, n.known, n.firstSentMillis = false, false, 0
	}
	if n.firstSentMillis != 0 && now-n.firstSentMillis > unknownMillis {
		n.known, n.firstSentMillis = true, 0
	}
}

// Rate returns the limit in requests per second, at least advice.MinRate. Limited is
// false if there is none.
func (n *Named) Rate() (rate float64, limited bool) {
	return max(n.rate, advice.MinRate), n.limited
}

// MaxRunning returns how many requests may run at once while the limit isn't
// known. Bounded is false once it is.
func (n *Named) MaxRunning() (count int, bounded bool) {
	return unknownRunning, !n.known && !n.limited
}

// Age returns where the limit in force came from, and how long ago the target
// named it.
func (n *Named) Age() (source string, millis float64) {
	if !n.limited {
		return "", 0
	}
	return n.source, n.clock.Fine() - n.namedMillis
}
