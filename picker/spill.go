package picker

import (
	"log/slog"
	"math"
	"slices"

	"bergamotloom.example/card"
	"bergamotloom.example/spill"
)

const (
	// roundTripMillis is the round trip between data centres of which nothing is known.
	// Those of the deployments have 1 to 2.8 ms.
	roundTripMillis = 2
	// maxLocalFailing is the fraction of failing runs above which an instance of the drawn
	// data centre is compared with one of all others: the fraction that leaves follows within
	// some updates, but a target that goes down fails hundreds of requests until then.
	maxLocalFailing = 0.02
	// idleMillis is the time without an update after which an entry has no fraction: it
	// sends no requests.
	idleMillis = 1000
	// loggedChange is the change of the fraction that is logged.
	loggedChange = 0.1
	// logMillis is the time between two lines of a service.
	logMillis = 1000
)

// spillover decides for each service which fraction of the requests leaves the data
// centre.
type spillover struct {
	spillAll   bool
	costMillis float64
	log        *slog.Logger
	spills     map[string]*serviceSpill
}

// serviceSpill is the spillover of one service.
type serviceSpill struct {
	*spill.Spill
	enabled bool
	// hash is that of the service's name. The fraction was updated at updatedMillis.
	hash          uint32
	updatedMillis int64
	// loggedFraction is the one in the last log line, written at loggedMillis.
	loggedFraction float64
	loggedMillis   int64
}

func newSpillover() spillover {
	return spillover{costMillis: spill.DefaultCostMillis, log: slog.New(slog.DiscardHandler), spills: make(map[string]*serviceSpill)}
}

// Spill sets whether all services use spillover, instead of those only whose targets report
// their current speed, and the cost in milliseconds of a request to another data centre. It's
// called before the first Pick.
func (p *Picker) Spill(all bool, costMillis float64, log *slog.Logger) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.spillAll, p.costMillis, p.log = all, costMillis, log
}

// SpillFractions returns the fraction of the requests that leaves the data centre, for each
// service that uses spillover.
func (p *Picker) SpillFractions() map[string]float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fractions := make(map[string]float64, len(p.spills))
	for service, s := range p.spills {
		if s.enabled {
			fractions[service] = s.Fraction()
		}
	}
	return fractions
}

// Describe adds to the node's card the fractions that are in use.
func (p *Picker) Describe(c card.Card) card.Card {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c.SpillFractions = nil
	for _, s := range p.spills {
		fraction := s.Fraction()
		if !s.enabled || fraction == 0 || p.clock.Since(s.updatedMillis) >= idleMillis {
			continue
		}
		if c.SpillFractions == nil {
			c.SpillFractions = make(map[uint32]float32)
		}
		c.SpillFractions[s.hash] = float32(fraction)
	}
	return c
}

// localFirst returns the candidates among which the request to a service is drawn, and
// whether those in the own data centre are preferred by a fixed factor. With spillover they
// are those in the data centre that is drawn for the request, or all if it's a retry. It
// reorders the slice. The candidates of first attempts are the figures for spillover, so that
// it counts no instance that Pick doesn't use.
func (p *Picker) localFirst(service string, candidates []*instance, isRetry, healthy bool) (drawn []*instance, preferOwn bool) {
	s, ok := p.spills[service]
	if !ok {
		s = &serviceSpill{Spill: spill.New(p.clock, p.centre, roundTripMillis, p.costMillis), hash: card.Hash(service), loggedMillis: math.MinInt64 / 2}
		p.spills[service] = s
	}
	if !isRetry && healthy && s.Due() {
		p.updateSpill(service, s, candidates)
	}
	switch {
	case !s.enabled:
		return candidates, true
	case isRetry || !healthy:
		return candidates, false
	}
	centre := s.Select(p.random.Float64())
	count := 0
	for i, n := range candidates {
		if n.card.Centre == centre {
			candidates[count], candidates[i] = candidates[i], candidates[count]
			count++
		}
	}
	if count == 0 {
		return candidates, false
	}
	return candidates[:count], false
}

// updateSpill updates the fraction of a service from the candidates for a first attempt.
func (p *Picker) updateSpill(service string, s *serviceSpill, candidates []*instance) {
	s.enabled = p.spillAll || slices.ContainsFunc(candidates, func(n *instance) bool { return n.card.Slowness > 0 })
	if !s.enabled {
		return
	}
	unknownRunMillis := meanRunMillis(candidates)
	for _, n := range candidates {
		// Runs that fail are short, so that a failing instance seems to have free slots.
		slots := n.usableSlots() * n.healthFactor()
		run := n.runMillis()
		if n.card.RunMillis <= 0 {
			run = unknownRunMillis
		}
		s.Add(n.card.Centre, slots, run, n.card.Running+n.card.Waiting)
	}
	s.Reflect(p.meanFraction(s.hash))
	s.Update()
	s.updatedMillis = p.clock.Now()
	p.logSpill(service, s)
}

// meanFraction returns the mean of the fractions on the cards of the own data centre, 0 if
// there are none. Cards with impossible fractions don't count.
func (p *Picker) meanFraction(hash uint32) float64 {
	sum, count := 0.0, 0
	for _, n := range p.instances {
		fraction := float64(n.card.SpillFractions[hash])
		if fraction > 0 && fraction <= 1 && n.card.Centre == p.centre && p.clock.Since(n.lastSeenMillis) <= silentMillis {
			sum += fraction
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// meanRunMillis returns the mean of the known run times. With any other value a data centre
// of new targets would seem to be slower or faster than the others.
func meanRunMillis(candidates []*instance) float64 {
	sum, count := 0.0, 0
	for _, n := range candidates {
		if n.card.RunMillis > 0 {
			sum += n.runMillis()
			count++
		}
	}
	if count == 0 {
		return defaultRunMillis
	}
	return sum / float64(count)
}

// logSpill logs the fraction if it began, ended or changed by a lot.
func (p *Picker) logSpill(service string, s *serviceSpill) {
	now := p.clock.Now()
	fraction := s.Fraction()
	changed := (fraction == 0) != (s.loggedFraction == 0) || math.Abs(fraction-s.loggedFraction) >= loggedChange
	if !changed || now-s.loggedMillis < logMillis {
		return
	}
	p.log.Info("picker: spillover", "Service", service, "Fraction", fraction, "FractionBefore", s.loggedFraction, "CostMillis", p.costMillis, "RoundTripMillis", roundTripMillis, "Centres", s.Inputs())
	s.loggedFraction, s.loggedMillis = fraction, now
}
