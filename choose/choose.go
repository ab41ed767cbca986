// Package choose picks the instance that a request goes to.
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
	// tookShare is how far one answer moves the known time of an instance.
	tookShare = 0.1
	// openShare is how far one answer moves the known threshold.
	openShare = 0.3
	// reopenPerMilli is how fast a closed instance counts as open again while
	// no answer tells otherwise.
	reopenPerMilli = 0.0005
	// leastOpen keeps a score finite for an instance that refuses everything.
	leastOpen = 0.05
	// farFactor is how many times better an instance in another data centre
	// must be to be taken.
	farFactor = 1.3
	// startShare is the part of the work that a new instance begins with.
	startShare = 0.1
	// slowStartMillis is how long a new instance gets less than its part.
	slowStartMillis = 5000
	// firstTookMillis is the time assumed of a service before any answer.
	firstTookMillis = 1
)

// Chooser knows the instances of all services as one node sees them. It
// doesn't lock: the node holds a mutex for it.
type Chooser struct {
	clock    clock.Clock
	centre   string
	random   *rand.Rand
	peers    map[string]*peer
	services map[string]*pool
}

// pool holds the instances of one service, and the usual time of its answers
// in milliseconds.
type pool struct {
	local  []*peer
	remote []*peer
	took   float64
}

// peer is what is known of one instance. Its time is 0 before any answer.
type peer struct {
	member      member.Member
	pool        *pool
	since       float64
	outstanding int
	took        float64
	open        float64
	heard       float64
	lostUntil   float64
}

// New returns a chooser for a node in the data centre. The seed makes its
// choices repeatable.
func New(c clock.Clock, centre string, seed uint64) *Chooser {
	return &Chooser{
		clock:    c,
		centre:   centre,
		random:   rand.New(rand.NewPCG(seed, seed)),
		peers:    map[string]*peer{},
		services: map[string]*pool{},
	}
}

// Update takes the list of all members. Those that take no work are left out.
// Instances that started lately begin with less work.
func (c *Chooser) Update(members []member.Member) {
	known, pools := c.peers, c.services
	c.peers = make(map[string]*peer, len(members))
	c.services = map[string]*pool{}
	for _, m := range members {
		if m.TakesWork() {
			c.add(c.peerOf(known, m), pools[m.Service])
		}
	}
}

func (c *Chooser) peerOf(known map[string]*peer, m member.Member) *peer {
	p, ok := known[m.ID]
	if ok && p.member.Incarnation == m.Incarnation {
		p.member = m
		return p
	}
	now := c.clock.Fine()
	return &peer{member: m, since: min(float64(m.Incarnation), now), open: 1, heard: now}
}

func (c *Chooser) add(p *peer, before *pool) {
	c.peers[p.member.ID] = p
	s, ok := c.services[p.member.Service]
	if !ok {
		s = &pool{took: firstTookMillis}
		if before != nil {
			s.took = before.took
		}
		c.services[p.member.Service] = s
	}
	p.pool = s
	if p.member.Centre == c.centre {
		s.local = append(s.local, p)
		return
	}
	s.remote = append(s.remote, p)
}

// Pick returns the instance of the service for the next request, leaving out
// the IDs in exclude. The own data centre goes first unless another one is much
// better. An instance that is known as lost is taken only when there's no
// other.
func (c *Chooser) Pick(service string, exclude ...string) (member.Member, bool) {
	s, ok := c.services[service]
	if !ok {
		return member.Member{}, false
	}
	now := c.clock.Fine()
	for _, lost := range []bool{false, true} {
		near := c.better(s.local, exclude, now, lost)
		far := c.better(s.remote, exclude, now, lost)
		if best := nearer(near, far, now); best != nil {
			return best.member, true
		}
	}
	return member.Member{}, false
}

// nearer returns the near instance unless the far one is much better.
func nearer(near, far *peer, now float64) *peer {
	if near == nil {
		return far
	}
	if far == nil || near.score(now) <= far.score(now)*farFactor {
		return near
	}
	return far
}

// better draws two usable instances of the list and returns the less loaded.
func (c *Chooser) better(list []*peer, exclude []string, now float64, lost bool) *peer {
	first := c.draw(list, exclude, now, lost, nil)
	if first == nil {
		return nil
	}
	return lower(first, c.draw(list, exclude, now, lost, first), now)
}

// draw returns the first usable instance from a random place on, or nil.
func (c *Chooser) draw(list []*peer, exclude []string, now float64, lost bool, not *peer) *peer {
	if len(list) == 0 {
		return nil
	}
	start := c.random.IntN(len(list))
	for i := range list {
		p := list[(start+i)%len(list)]
		if p != not && p.usable(exclude, now, lost) {
			return p
		}
	}
	return nil
}

func lower(a, b *peer, now float64) *peer {
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
	if p, ok := c.peers[id]; ok {
		p.outstanding++
	}
}

// Ended takes the end of a request that was counted by Started. Its time, in
// milliseconds, counts only when ok; the threshold is the one that the
// instance's own gate sent back.
func (c *Chooser) Ended(id string, ok bool, tookMillis float64, threshold level.Level) {
	p, known := c.peers[id]
	if !known {
		return
	}
	p.outstanding = max(p.outstanding-1, 0)
	now := c.clock.Fine()
	open := p.openAt(now)
	p.open = open + (float64(threshold)/float64(level.Full)-open)*openShare
	p.heard = now
	if ok {
		p.learnTook(tookMillis)
	}
}

// Eject says that the instance refused a connection or was silent: it's skipped
// for so many milliseconds. The request that met it was ended before.
func (c *Chooser) Eject(id string, millis float64) {
	if p, ok := c.peers[id]; ok {
		p.lostUntil = c.clock.Fine() + millis
	}
}

// Refuses tells whether the thresholds of all instances of the service refuse
// the whole rank. What is known of them opens with time, which makes probes.
func (c *Chooser) Refuses(service string, r rank.Rank) bool {
	s, ok := c.services[service]
	if !ok {
		return false
	}
	now := c.clock.Fine()
	return closed(s.local, r, now) && closed(s.remote, r, now)
}

func closed(list []*peer, r rank.Rank, now float64) bool {
	for _, p := range list {
		if level.Level(p.openAt(now)*float64(level.Full)).Share(r) > 0 {
			return false
		}
	}
	return true
}

func (p *peer) usable(exclude []string, now float64, lost bool) bool {
	if slices.Contains(exclude, p.member.ID) {
		return false
	}
	return lost || p.lostUntil <= now
}

// score is the expected time of one more request, so a lower one is better.
func (p *peer) score(now float64) float64 {
	open := max(p.openAt(now), leastOpen)
	return float64(p.outstanding+1) * p.usualTook() / (open * p.warmth(now))
}

func (p *peer) usualTook() float64 {
	if p.took == 0 {
		return p.pool.took
	}
	return p.took
}

func (p *peer) openAt(now float64) float64 {
	return min(p.open+(now-p.heard)*reopenPerMilli, 1)
}

// warmth grows from startShare to 1 during the slow start.
func (p *peer) warmth(now float64) float64 {
	age := (now - p.since) / slowStartMillis
	return min(startShare+age*(1-startShare), 1)
}

func (p *peer) learnTook(millis float64) {
	p.took = p.usualTook() + (millis-p.usualTook())*tookShare
	p.pool.took += (millis - p.pool.took) * tookShare
}
