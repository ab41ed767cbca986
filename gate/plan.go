package gate

import (
	"math"

	"bergamotloom.example/level"
	"bergamotloom.example/rank"
)

const (
	// calmShare and fastShare are how far one window moves the known capacity
	// when it differs little, and when it differs by more than noticeable.
	calmShare  = 0.1
	fastShare  = 0.5
	noticeable = 0.4
	// steadyShare is how far one window moves the steady capacity.
	steadyShare = 0.03
	// leastBusy is the use of the slots below which no capacity is inferred.
	leastBusy = 0.1
	// spareQueue is the least wanted queue as a part of the limit.
	spareQueue = 0.1
	// spareNoise is how many standard deviations of a window's arrivals the
	// wanted queue covers: two cover 95 windows of 100.
	spareNoise = 2
	// spareRoom is the most that the wanted queue takes of the room, so that
	// what comes above it isn't refused at once.
	spareRoom = 0.7
	// mendMillis is the time in which the plan wants to bring the number of
	// requests at the gate to what it should be.
	mendMillis = 400
	// openFactor is how many times faster that is when slots are free.
	openFactor = 3
	// fillRounds is how often the fair level is refined in one window.
	fillRounds = 16
)

// tier is a range of ranks that are given out together, by the teams' weights.
type tier struct {
	first, last rank.Rank
}

// plan gives what the target can do in a window to the ranks and teams that
// ask for it, and so works out the thresholds.
type plan struct {
	tiers    []tier
	capacity float64
	// steady is the capacity without its short changes.
	steady    float64
	threshold level.Level
}

// newPlan returns a plan in which teams get their parts within each rank, or
// with teamsFirst within all ranks below the critical one together.
func newPlan(teamsFirst bool) plan {
	p := plan{threshold: level.Full}
	p.tiers = []tier{{rank.Critical, rank.Critical}, {rank.Normal, rank.Normal}, {rank.Sheddable, rank.Sheddable}}
	if teamsFirst {
		p.tiers = []tier{{rank.Critical, rank.Critical}, {rank.Normal, rank.Sheddable}}
	}
	return p
}

// judge takes the window's figures, the number of requests at the gate now and
// how many may wait there.
func (p *plan) judge(m *meter, s *shares, limit, present, room int) {
	p.learn(m, m.busy(limit))
	s.learn()
	missing := float64(limit) + p.spare(limit, room) - float64(present)
	if present < limit {
		missing *= openFactor
	}
	p.divide(max(p.capacity+missing*windowMillis/mendMillis, 0), s)
}

// spare returns the wanted queue. Between two thresholds the number that
// arrives varies by about the square root of the number that a window serves;
// a shorter queue runs empty and leaves slots idle.
func (p *plan) spare(limit, room int) float64 {
	return max(float64(limit)*spareQueue, min(spareNoise*math.Sqrt(p.capacity), float64(room)*spareRoom))
}

// learn takes the window's figures: what ended over the use of the slots is
// what the target could have done.
func (p *plan) learn(m *meter, busy float64) {
	if busy < leastBusy {
		return
	}
	p.capacity = follow(p.capacity, float64(m.ended)/min(busy, 1))
	p.steady += (p.capacity - p.steady) * steadyShare
}

// follow returns the known figure moved towards a new one: slowly through
// noise, fast after a change.
func follow(known, seen float64) float64 {
	share := calmShare
	if math.Abs(seen-known) > known*noticeable {
		share = fastShare
	}
	return known + (seen-known)*share
}

// divide gives what there is to the tiers in their order and sets the teams'
// levels. The threshold is that of the least restricted team.
func (p *plan) divide(left float64, s *shares) {
	for _, u := range s.teams {
		u.given = 0
		u.level = level.Full
	}
	p.threshold = level.Full
	if p.capacity == 0 {
		return
	}
	for _, t := range p.tiers {
		asked := t.ask(s)
		if t.last == rank.Critical {
			// Neither a backlog of lesser ranks nor a short dip of the
			// capacity may close the critical one.
			left = max(left, min(asked, p.steady))
		}
		if asked > left {
			p.threshold = t.restrict(left, s)
			return
		}
		left -= asked
		t.giveAll(s)
	}
}

// ask sums up what the teams ask for in the tier.
func (t tier) ask(s *shares) float64 {
	total := 0.0
	for _, u := range s.teams {
		u.asked = 0
		for r := t.first; r <= t.last; r++ {
			u.asked += u.demand[r]
		}
		total += u.asked
	}
	return total
}

func (t tier) giveAll(s *shares) {
	for _, u := range s.teams {
		u.given += u.asked
	}
}

// restrict sets the levels when the tier asks for more than is left, and
// returns the highest.
func (t tier) restrict(left float64, s *shares) level.Level {
	fair := t.fairLevel(left, s)
	highest := level.Level(0)
	for _, u := range s.teams {
		u.level = t.level(u, u.part(fair))
		highest = max(highest, u.level)
	}
	return highest
}

// fairLevel returns the use for each unit of weight up to which teams get what
// they ask for, such that the sum is what is left.
func (t tier) fairLevel(left float64, s *shares) float64 {
	low, high := 0.0, 0.0
	for _, u := range s.teams {
		high = max(high, (u.given+u.asked)/u.weight)
	}
	for range fillRounds {
		middle := (low + high) / 2
		sum := 0.0
		for _, u := range s.teams {
			sum += u.part(middle)
		}
		if sum > left {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// part returns what the team gets in the tier at the fair level.
func (u *share) part(fair float64) float64 {
	return min(u.asked, max(fair*u.weight-u.given, 0))
}

// level returns the level that lets this many of the team's requests in the
// tier pass, the more important ranks first.
func (t tier) level(u *share, left float64) level.Level {
	for r := t.first; r <= t.last; r++ {
		if u.demand[r] > left {
			return level.New(r, left/u.demand[r])
		}
		left -= u.demand[r]
	}
	return level.New(t.last, 1)
}
