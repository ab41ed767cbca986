// Package spill decides which fraction of the requests for a service leaves the data
// centre.
//
// It answers demand that varies out of phase between data centres, and a data centre with
// too few, slow or cold targets: its own targets have too few slots while others are idle,
// yet traffic between data centres is slower and costs money.
package spill

import (
	"math"

	"bergamotloom.example/clock"
)

const (
	// UpdateMillis is the time between two updates: cards come ten times a second.
	UpdateMillis = 100
	// DefaultCostMillis is how many milliseconds of callers' latency justify a request to
	// another data centre, whose traffic is billed and slower. In replays of waves 15 to 55%
	// more requests leave without a cost, for a mean latency that's 0.1 ms lower with equal
	// targets and 0.7 ms with targets of different speeds (docs/design/spillover.md).
	DefaultCostMillis = 10
	// upGain and downGain are the fractions of the difference to the computed fraction by
	// which one update changes the present one. A data centre that is short of slots
	// refuses requests, one that is spared only costs money, so up is faster.
	upGain   = 0.5
	downGain = 0.25
	// maxUpStep and maxDownStep bound the change in one update.
	maxUpStep   = 0.15
	maxDownStep = 0.05
	// lagSmoothingFactor makes the fraction that the figures reflect from the present one:
	// cards are 100 to 200 ms old.
	lagSmoothingFactor = 0.5
	// lostRateFraction is the fraction of the own data centre's rate whose loss between two
	// updates lifts the bound: it's a certain figure, and waiting for smaller steps would
	// cost requests.
	lostRateFraction = 0.2
	// loadSmoothingFactor and trendSmoothingFactor are those of the loads and of their
	// change per millisecond.
	loadSmoothingFactor  = 0.6
	trendSmoothingFactor = 0.15
	// demandSmoothingFactor is that of the demand, which is estimated from the load that
	// stays.
	demandSmoothingFactor = 0.3
	// horizonMillis is for which time ahead loads are estimated: as old as the figures are,
	// and what an update takes to have effect. Demand changes by up to 23% in a second.
	horizonMillis = 300
	// maxTrendFraction bounds the rise that is expected in that time, as a fraction of the
	// slots. A fall isn't expected: most are noise, and to be late with it only costs money.
	maxTrendFraction = 0.15
	// drainMillis is the time in which a queue should be gone. A queue is the sum of past
	// excess: to move as many requests as wait, in each run time, would empty the data centre.
	drainMillis = 200
	// maxGapMillis is the time after which older figures aren't used any more.
	maxGapMillis = 1000
	// maxStepMillis is the longest time for which one update changes the fraction.
	maxStepMillis = 3 * UpdateMillis
	// runTolerance is the ratio between the run times of two data centres that doesn't
	// justify traffic by itself: machines differ that much.
	runTolerance = 1.5
	// minFraction is the smallest fraction that is used.
	minFraction = 0.01
	// minStayFraction is the smallest fraction of the requests that stay from whose load the
	// demand is estimated.
	minStayFraction = 0.1
	// minDemandFraction is the smallest estimate of the demand, as a fraction of the slots.
	minDemandFraction = 0.1
	iterations        = 50
)

// Spill holds, for one service, the fraction of the requests that goes to each other data
// centre. It isn't safe for concurrent use.
type Spill struct {
	clock           clock.Clock
	costMillis      float64
	roundTripMillis float64
	own             centre
	others          []*centre
	updatedMillis   int64
	// demand is the load that all requests of the own data centre cause.
	demand float64
}

// centre is a data centre. All loads are in slots.
type centre struct {
	name string
	// targets, slots, rate (requests per millisecond at full use) and load are the sums
	// since the last update.
	targets                 int
	slots, rate, sampleLoad float64
	// lastTargets, lastSlots, lastRate, load, trend and runMillis are of the last update.
	lastTargets         int
	lastSlots, lastRate float64
	load, trend         float64
	runMillis           float64
	// lost is the fraction of the rate that was lost since the update before.
	lost float64
	// offered is the load that its arrivals cause, estimated ahead.
	offered float64
	// fraction is that of this entry's requests which goes there, reflected the one of all
	// entries that the loads on the cards reflect, wanted the computed one.
	fraction, reflected, wanted float64
	// comparedMillis is the run time that the latency is compared with.
	comparedMillis float64
	curve          curve
}

// New returns the state of a service for entries in this data centre, from which nothing
// leaves. The round trip to other data centres and the cost of a request to them are in
// milliseconds.
func New(c clock.Clock, own string, roundTripMillis, costMillis float64) *Spill {
	return &Spill{clock: c, costMillis: costMillis, roundTripMillis: roundTripMillis, own: centre{name: own}}
}

// Due reports whether it's time for an update.
func (s *Spill) Due() bool {
	return s.updatedMillis == 0 || s.clock.Since(s.updatedMillis) >= UpdateMillis
}

// Add counts a target that can be used: how many of its slots can be in use, its run time in
// milliseconds, and how many requests run or wait there. The next update uses it.
func (s *Spill) Add(name string, slots, runMillis float64, load int) {
	if !(slots > 0) || !(runMillis > 0) || load < 0 || math.IsInf(slots/runMillis, 0) {
		return
	}
	c := s.centre(name)
	c.targets++
	c.slots += slots
	c.rate += slots / runMillis
	c.sampleLoad += float64(load)
}

func (s *Spill) centre(name string) *centre {
	if name == s.own.name {
		return &s.own
	}
	for _, c := range s.others {
		if c.name == name {
			return c
		}
	}
	c := &centre{name: name}
	s.others = append(s.others, c)
	return c
}

// Reflect tells, after the targets were added, the mean fraction that the entries of the own
// data centre lately sent to others, of those that sent any. Without it each entry assumes
// that all send the same fraction as itself, and their fractions drift apart, as loads tell
// only the sum. Values that aren't above 0 and at most 1 change nothing.
func (s *Spill) Reflect(fraction float64) {
	if !(fraction > 0 && fraction <= 1) {
		return
	}
	sum, slots := 0.0, 0.0
	for _, c := range s.others {
		sum += c.reflected
		slots += c.slots
	}
	for _, c := range s.others {
		if sum > 0 {
			c.reflected *= fraction / sum
		} else if slots > 0 {
			c.reflected = fraction * c.slots / slots
		}
	}
}

// Update computes the fractions from the targets that were added since the last update.
func (s *Spill) Update() {
	now := s.clock.Now()
	elapsed := float64(now - s.updatedMillis)
	if s.updatedMillis == 0 {
		elapsed = UpdateMillis
	}
	s.updatedMillis = now
	s.own.smooth(elapsed)
	usable := s.others[:0]
	for _, c := range s.others {
		// A data centre without a usable target is dropped.
		if c.targets > 0 {
			c.smooth(elapsed)
			usable = append(usable, c)
		}
	}
	clear(s.others[len(usable):])
	s.others = usable
	switch {
	case len(s.others) == 0:
	case s.own.targets == 0:
		s.leave()
	default:
		s.balance(elapsed)
		// A single figure after a long time doesn't justify a large step.
		s.step(min(elapsed, maxStepMillis))
	}
	s.own.reset()
	for _, c := range s.others {
		c.reset()
	}
}

// smooth takes in the sums since the last update, which was that many milliseconds ago.
func (c *centre) smooth(elapsed float64) {
	c.lost = 0
	if c.targets == 0 {
		c.lastTargets = 0
		return
	}
	runMillisBefore := c.runMillis
	c.runMillis = c.slots / c.rate
	switch {
	case c.lastTargets == 0 || elapsed >= maxGapMillis:
		c.load, c.trend = c.sampleLoad, 0
	case c.targets < c.lastTargets:
		// The demand is still the same, though no card shows the load of the lost targets.
		c.trend = 0
		c.lost = max(1-c.rate/c.lastRate, 0)
	default:
		before := c.load
		c.load += weight(loadSmoothingFactor, elapsed) * (c.sampleLoad - c.load)
		c.trend += weight(trendSmoothingFactor, elapsed) * ((c.load-before)/elapsed - c.trend)
		c.lost = max(1-c.rate/c.lastRate, 0)
	}
	c.lastTargets, c.lastSlots, c.lastRate = c.targets, c.slots, c.rate
	if c.lost > lostRateFraction {
		// What is beyond the slots now isn't a queue: it's what the demand needed until now.
		c.offered = c.load * c.runMillis / runMillisBefore
		return
	}
	waiting := max(c.load-c.slots, 0)
	horizon := float64(horizonMillis)
	if waiting > 0 {
		// With all slots in use the load is a sum of past arrivals, and its trend their
		// excess.
		horizon = min(horizon, c.runMillis)
	}
	rise := max(min(c.trend*horizon, maxTrendFraction*c.slots), 0)
	c.offered = c.load - waiting + waiting*min(c.runMillis/drainMillis, 1) + rise
}

func (c *centre) reset() {
	c.targets, c.slots, c.rate, c.sampleLoad = 0, 0, 0, 0
}

// weight returns the weight of a new value if it came after that many milliseconds.
func weight(smoothingFactor, elapsed float64) float64 {
	return 1 - math.Pow(1-smoothingFactor, elapsed/UpdateMillis)
}

// leave sends all requests to other data centres, in proportion to what they can take.
func (s *Spill) leave() {
	sum := 0.0
	for _, c := range s.others {
		c.wanted = max(c.slots-c.offered, minDemandFraction*c.slots) / c.runMillis
		sum += c.wanted
	}
	for _, c := range s.others {
		c.fraction = c.wanted / sum
		c.reflected = c.fraction
	}
}

// balance computes the wanted fractions: those at which one more request causes the same
// latency in the own data centre as in each used one with the round trip and the cost. The
// load that moves is counted on both sides, as all entries of a data centre decide alike.
func (s *Spill) balance(elapsed float64) {
	o := &s.own
	o.curve.set(o.slots, o.slots/float64(o.targets), 0)
	reflected := 0.0
	for _, c := range s.others {
		c.curve.set(c.slots, c.slots/float64(c.targets), loadedRunFraction)
		c.comparedMillis = max(min(o.runMillis, c.runMillis*runTolerance), c.runMillis)
		reflected += c.reflected
	}
	// The load is that of the requests that stay. If these are few, it tells too little.
	stay := 1 - reflected
	demand := o.offered / max(stay, minStayFraction)
	switch {
	case o.lost > lostRateFraction:
		s.demand = demand
	case stay >= minStayFraction:
		s.demand += weight(demandSmoothingFactor, elapsed) * (demand - s.demand)
	}
	s.demand = max(s.demand, minDemandFraction*o.slots)
	low, high := 0.0, o.runMillis
	for range iterations {
		if s.excess(high) <= 0 {
			break
		}
		low, high = high, high*2
	}
	for range iterations {
		middle := (low + high) / 2
		if s.excess(middle) > 0 {
			low = middle
		} else {
			high = middle
		}
	}
	s.excess(high)
}

// excess returns the load that the own data centre has too much at this latency, and the
// others don't take, and sets the fractions that they take. It falls with the latency.
func (s *Spill) excess(latencyMillis float64) float64 {
	o := &s.own
	excess := o.offered - o.curve.load(latencyMillis/o.runMillis)
	for _, c := range s.others {
		latency := (latencyMillis - s.roundTripMillis - s.costMillis) / c.comparedMillis
		taken := (c.curve.load(latency) - c.offered) * o.runMillis / c.runMillis
		// No more can be withdrawn than was sent.
		taken = max(taken, -c.reflected*s.demand)
		c.wanted = c.reflected + taken/s.demand
		excess -= taken
	}
	return excess
}

// step changes the fractions towards the wanted ones, by a bounded step.
func (s *Spill) step(elapsed float64) {
	wanted, present := 0.0, 0.0
	for _, c := range s.others {
		wanted += c.wanted
		present += c.fraction
	}
	// Near its bound the sum may be more than 1 by rounding, or as the demand was
	// underestimated.
	scale := 1 / max(wanted, 1)
	wanted *= scale
	gain, maxStep := upGain, maxUpStep
	switch {
	case wanted < present:
		gain, maxStep = downGain, maxDownStep
	case s.own.lost > lostRateFraction:
		gain, maxStep = 1, 1
	}
	part := weight(gain, elapsed)
	if change := math.Abs(wanted-present) * part; change > 0 {
		part *= min(maxStep*elapsed/UpdateMillis/change, 1)
	}
	for _, c := range s.others {
		c.reflected += weight(lagSmoothingFactor, elapsed) * (c.fraction - c.reflected)
		c.fraction += part * (c.wanted*scale - c.fraction)
	}
}

// Fraction returns the fraction of the requests that leaves the data centre.
func (s *Spill) Fraction() float64 {
	sum := 0.0
	for _, c := range s.others {
		sum += c.fraction
	}
	switch {
	case sum < minFraction:
		return 0
	case s.own.lastTargets == 0:
		// The fractions add up to 1 but for rounding.
		return 1
	}
	return min(sum, 1)
}

// Select returns the data centre of a request, given a random number from 0 to 1.
func (s *Spill) Select(random float64) string {
	if s.Fraction() == 0 {
		return s.own.name
	}
	for _, c := range s.others {
		if random < c.fraction {
			return c.name
		}
		random -= c.fraction
	}
	if s.own.lastTargets == 0 {
		// The rest is an error of rounding.
		return s.others[len(s.others)-1].name
	}
	return s.own.name
}

// Inputs returns for each data centre, for a log, the figures of the last update: the slots
// that can be in use, the run time, the load on the cards, the load that its arrivals are
// estimated to cause, and the fraction of the requests that goes there.
func (s *Spill) Inputs() map[string]map[string]float64 {
	stay := 1 - s.Fraction()
	inputs := map[string]map[string]float64{s.own.name: s.own.inputs(stay)}
	for _, c := range s.others {
		inputs[c.name] = c.inputs(c.fraction)
	}
	return inputs
}

func (c *centre) inputs(fraction float64) map[string]float64 {
	if c.lastTargets == 0 {
		return map[string]float64{"Targets": 0, "Fraction": rounded(fraction)}
	}
	return map[string]float64{
		"Targets": float64(c.lastTargets), "Slots": rounded(c.lastSlots), "RunMillis": rounded(c.runMillis),
		"Load": rounded(c.load), "Offered": rounded(c.offered), "Fraction": rounded(fraction),
	}
}

// rounded returns the number with three decimals.
func rounded(x float64) float64 {
	return math.Round(x*1000) / 1000
}
