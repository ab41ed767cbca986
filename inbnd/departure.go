package inbnd

import (
	"bergamotloom.example/alive"
	"bergamotloom.example/clock"
)

// maxDepartures bounds the targets that are remembered as having left. A machine has one
// target at a time; more of them than this while their heartbeats may still arrive are no
// targets.
const maxDepartures = 64

// departure says which incarnations of a target have left, of those with one ID.
type departure struct {
	// startMillis is the start time of the last one that is known to have left; 0 if
	// none is.
	startMillis int64
	// requestMillis is when the last leave request came, 0 if none came. It may be from
	// an incarnation whose heartbeats are still on their way.
	requestMillis int64
}

// lastStartMillis returns the start time up to which incarnations have left. A leave
// request stands for all that started before it, for as long as their heartbeats may
// arrive: one that goes on sending heartbeats hasn't left. One that started in the same
// millisecond has started after it.
func (d departure) lastStartMillis(c clock.Clock) int64 {
	if c.Since(d.requestMillis) < alive.MaxHeartbeatDelayMillis {
		return max(d.startMillis, d.requestMillis-1)
	}
	return d.startMillis
}

// withLeft returns the departure with the incarnation that started at startMillis.
func (d departure) withLeft(startMillis int64) departure {
	d.startMillis = max(d.startMillis, startMillis)
	return d
}

// withRequest returns the departure with a leave request that came at this time.
func (d departure) withRequest(millis int64) departure {
	d.requestMillis = max(d.requestMillis, millis)
	return d
}

// precedes reports whether the departure is of less use than another one: it tells only
// of a request, or it's the earlier one of two that tell as much.
func (d departure) precedes(other departure) bool {
	if (d.startMillis == 0) != (other.startMillis == 0) {
		return d.startMillis == 0
	}
	return max(d.startMillis, d.requestMillis) < max(other.startMillis, other.requestMillis)
}

// departures holds the targets that have left, by ID.
type departures map[string]departure

// put sets the departure of a target. Beyond maxDepartures it drops the one of least use
// among the others.
func (d departures) put(target string, present departure) {
	d[target] = present
	if len(d) <= maxDepartures {
		return
	}
	dropped := ""
	for id, other := range d {
		if id != target && (dropped == "" || other.precedes(d[dropped])) {
			dropped = id
		}
	}
	delete(d, dropped)
}
