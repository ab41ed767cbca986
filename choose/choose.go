// Package choose selects the instance that a request is sent to.
package choose

import (
	"math/rand/v2"
	"slices"

	"bergamotloom.example/clock"
	"bergamotloom.example/level"
	"bergamotloom.example/member"
	"bergamotloom.example/rank"
)

const (
	// latencySmoothingFactor is the EWMA smoothing factor of latencies.
	latencySmoothingFactor = 0.1
	// thresholdSmoothingFactor is the EWMA smoothing factor of an instance's
	// admission threshold.
	thresholdSmoothingFactor = 0.3
	// thresholdRisePerMillis is how fast the known threshold of an instance
	// rises while no response reports one, as a fraction of the full threshold:
	// from 0 to full in 2 s.
	thresholdRisePerMillis = 0.0005
	// minThresholdFraction keeps the score of an instance that refuses
	// everything finite.
	minThresholdFraction = 0.05
	// remoteAdvantageFactor makes a remote instance be selected only if its
	// score, multiplied by this factor, is still lower than the local one's.
	remoteAdvantageFactor = 1.3
	// slowStartInitialFraction is the fraction of its normal load that a new
	// instance gets at first.
	slowStartInitialFraction = 0.1
	// slowStartMillis is how long a new instance gets less than its normal
	// load.
	slowStartMillis = 5000
	// initialLatencyMillis is the latency assumed for a service before its
	// first response.
	initialLatencyMillis = 1
)

// Chooser holds the instances of all services as seen by one node. It isn't
// safe for concurrent use: the node guards it with a mutex.
type Chooser struct {
	clock     clock.Clock
	centre    string
	random    *rand.Rand
	instances map[string]*instance
	services  map[string]*pool
}

// pool holds the instances of one service and the EWMA of their latencies.
type pool struct {
	local         []*instance
	remote        []*instance
	latencyMillis float64
}

// instance is what is known about one instance. Times are in milliseconds on
// the clock. latencyMillis is 0 before the first response. thresholdFraction is
// the EWMA of the admission threshold as of thresholdUpdatedMillis, as a
// fraction of level.Full: 1 admits everything, 0 nothing.
type instance struct {
	member                 member.Member
	pool                   *pool
	startedMillis          float64
	inFlight               int
	latencyMillis          float64
	thresholdFraction      float64
	thresholdUpdatedMillis float64
	ejectedUntilMillis     float64
}

// New returns a chooser for a node in the data centre. The seed makes its
// choices repeatable.
func New(c clock.Clock, centre string, seed uint64) *Chooser {
	return &Chooser{
		clock:     c,
		centre:    centre,
		random:    rand.New(rand.NewPCG(seed, seed)),
		instances: map[string]*instance{},
		services:  map[string]*pool{},
	}
}

// Update replaces the list of all members. Members that take no work are left
// out. Instances that started recently get less work at first.
func (c *Chooser) Update(members []member.Member) {
	previousInstances, previousPools := c.instances, c.services
	c.instances = make(map[string]*instance, len(members))
	c.services = map[string]*pool{}
	for _, m := range members {
		if m.TakesWork() {
			c.add(c.reuseOrNew(previousInstances, m), previousPools[m.Service])
		}
	}
}

// reuseOrNew returns the state kept for the member, or a new one if the member
// is new or its incarnation has changed.
func (c *Chooser) reuseOrNew(previousInstances map[string]*instance, m member.Member) *instance {
	in, ok := previousInstances[m.ID]
	if ok && in.member.Incarnation == m.Incarnation {
		in.member = m
		return in
	}
	now := c.clock.Fine()
	return &instance{member: m, startedMillis: min(float64(m.Incarnation), now), thresholdFraction: 1, thresholdUpdatedMillis: now}
}

func (c *Chooser) add(in *instance, previous *pool) {
	c.instances[in.member.ID] = in
	s, ok := c.services[in.member.Service]
	if !ok {
		s = &pool{latencyMillis: initialLatencyMillis}
		if previous != nil {
			s.latencyMillis = previous.latencyMillis
		}
		c.services[in.member.Service] = s
	}
	in.pool = s
	if in.member.Centre == c.centre {
		s.local = append(s.local, in)
		return
	}
	s.remote = append(s.remote, in)
}

// Pick returns the instance of the service for the next request, leaving out
// the IDs in exclude. Instances in the local data centre are preferred unless
// one in another data centre is better by remoteAdvantageFactor. An ejected
// instance is returned only if there is no other.
func (c *Chooser) Pick(service string, exclude ...string) (member.Member, bool) {
	s, ok := c.services[service]
	if !ok {
		return member.Member{}, false
	}
	now := c.clock.Fine()
	for _, includeEjected := range []bool{false, true} {
		local := c.lessLoaded(s.local, exclude, now, includeEjected)
		remote := c.lessLoaded(s.remote, exclude, now, includeEjected)
		if best := preferLocal(local, remote, now); best != nil {
			return best.member, true
		}
	}
	return member.Member{}, false
}

// preferLocal returns the local instance unless the remote one's score is lower
// by remoteAdvantageFactor.
func preferLocal(local, remote *instance, now float64) *instance {
	if local == nil {
		return remote
	}
	if remote == nil || local.score(now) <= remote.score(now)*remoteAdvantageFactor {
		return local
	}
	return remote
}

// lessLoaded draws two usable candidates at random and returns the less loaded
// one.
func (c *Chooser) lessLoaded(candidates []*instance, exclude []string, now float64, includeEjected bool) *instance {
	first := c.drawUsable(candidates, exclude, now, includeEjected, nil)
	if first == nil {
		return nil
	}
	return lowerScore(first, c.drawUsable(candidates, exclude, now, includeEjected, first), now)
}

// drawUsable returns the first usable candidate from a random position on, or
// nil.
func (c *Chooser) drawUsable(candidates []*instance, exclude []string, now float64, includeEjected bool, skip *instance) *instance {
	if len(candidates) == 0 {
		return nil
	}
	start := c.random.IntN(len(candidates))
	for i := range candidates {
		in := candidates[(start+i)%len(candidates)]
		if in != skip && in.usable(exclude, now, includeEjected) {
			return in
		}
	}
	return nil
}

func lowerScore(a, b *instance, now float64) *instance {
	if a == nil {
		return b
	}
	if b == nil || a.score(now) <= b.score(now) {
		return a
	}
	return b
}

// Started counts a request that was sent to the instance.
func (c *Chooser) Started(id string) {
	if in, ok := c.instances[id]; ok {
		in.inFlight++
	}
}

// Ended records the end of a request that was counted by Started. latencyMillis
// is used only if ok, that is, if the response was complete. threshold is the
// admission threshold that the instance's own gate sent back.
func (c *Chooser) Ended(id string, ok bool, latencyMillis float64, threshold level.Level) {
	in, found := c.instances[id]
	if !found {
		return
	}
	in.inFlight = max(in.inFlight-1, 0)
	now := c.clock.Fine()
	thresholdFraction := in.thresholdFractionAt(now)
	in.thresholdFraction = thresholdFraction + (float64(threshold)/float64(level.Full)-thresholdFraction)*thresholdSmoothingFactor
	in.thresholdUpdatedMillis = now
	if ok {
		in.learnLatency(latencyMillis)
	}
}

// Eject keeps new requests away from the instance for the given number of
// milliseconds, because it refused a connection or was silent. The caller
// reports the end of the failed request with Ended first.
func (c *Chooser) Eject(id string, millis float64) {
	if in, ok := c.instances[id]; ok {
		in.ejectedUntilMillis = c.clock.Fine() + millis
	}
}

// Refuses reports whether every instance's threshold refuses all requests of
// the rank. A threshold rises while no response reports one, so that a probe
// eventually passes. Refuses returns false for a service without instances.
func (c *Chooser) Refuses(service string, r rank.Rank) bool {
	s, ok := c.services[service]
	if !ok {
		return false
	}
	now := c.clock.Fine()
	return allRefuse(s.local, r, now) && allRefuse(s.remote, r, now)
}

func allRefuse(candidates []*instance, r rank.Rank, now float64) bool {
	for _, in := range candidates {
		if level.Level(in.thresholdFractionAt(now)*float64(level.Full)).AdmittedFraction(r) > 0 {
			return false
		}
	}
	return true
}

func (in *instance) usable(exclude []string, now float64, includeEjected bool) bool {
	if slices.Contains(exclude, in.member.ID) {
		return false
	}
	return includeEjected || in.ejectedUntilMillis <= now
}

// score estimates the latency of one more request, raised for instances that
// refuse requests or are in their slow start. Lower is better.
func (in *instance) score(now float64) float64 {
	thresholdFraction := max(in.thresholdFractionAt(now), minThresholdFraction)
	return float64(in.inFlight+1) * in.expectedLatencyMillis() / (thresholdFraction * in.slowStartFactor(now))
}

func (in *instance) expectedLatencyMillis() float64 {
	if in.latencyMillis == 0 {
		return in.pool.latencyMillis
	}
	return in.latencyMillis
}

func (in *instance) thresholdFractionAt(now float64) float64 {
	return min(in.thresholdFraction+(now-in.thresholdUpdatedMillis)*thresholdRisePerMillis, 1)
}

// slowStartFactor grows from slowStartInitialFraction to 1 during the slow
// start.
func (in *instance) slowStartFactor(now float64) float64 {
	age := (now - in.startedMillis) / slowStartMillis
	return min(slowStartInitialFraction+age*(1-slowStartInitialFraction), 1)
}

func (in *instance) learnLatency(millis float64) {
	in.latencyMillis = in.expectedLatencyMillis() + (millis-in.expectedLatencyMillis())*latencySmoothingFactor
	in.pool.latencyMillis += (millis - in.pool.latencyMillis) * latencySmoothingFactor
}
