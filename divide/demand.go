package divide

import (
	"maps"

	"bergamotloom.example/card"
	"bergamotloom.example/grade"
)

const (
	millisPerSecond = 1000
	// rateMillis is the time constant of the average of request rates: long enough that
	// teams of a few requests a second don't look idle, short enough for a burst of 3 s.
	rateMillis = 1000
	// minReportedRate is the rate, in requests per second, below which it's left out of
	// cards, and minRate that below which it's dropped. Leaving it out loses a tenth of the
	// demand of teams that send one request a second or fewer to each entry.
	minReportedRate = 0.1
	minRate         = 0.01
	// maxRate is the highest rate, in requests per second, that a card may name.
	maxRate = 1e6
	// While a grade is admitted in part, one card of dividedCards has the rates, and
	// otherwise one of normalCards has those of the roots only.
	dividedCards = 4
	normalCards  = 16
	// teamsMillis and rootsMillis are how long rates on cards are valid. Idle nodes send
	// the rates of roots every 5 s.
	teamsMillis = 2000
	rootsMillis = 6000
)

// meter measures one rate: the requests since the last tick and their EWMA, in requests
// per second.
type meter struct {
	count float64
	rate  float64
}

type (
	meters       map[uint32]*meter
	gradeMeters  [grade.Count]meters
	gradeSums    [grade.Count]map[uint32]float64
	reportedRate = map[grade.Grade]map[uint32]float32
)

func (m meters) record(hash uint32) {
	if _, ok := m[hash]; !ok {
		m[hash] = &meter{}
	}
	m[hash].count++
}

func (m meters) tick(millis float64) {
	smoothingFactor := min(millis/rateMillis, 1)
	for hash, r := range m {
		r.rate += (r.count*millisPerSecond/millis - r.rate) * smoothingFactor
		r.count = 0
		if r.rate < minRate {
			delete(m, hash)
		}
	}
}

func (m meters) rate(hash uint32) float64 {
	if r, ok := m[hash]; ok {
		return r.rate
	}
	return 0
}

// reported returns the rates for a card.
func (m meters) reported() map[uint32]float32 {
	rates := make(map[uint32]float32)
	for hash, r := range m {
		if r.rate >= minReportedRate {
			rates[hash] = float32(r.rate)
		}
	}
	return rates
}

func (m *gradeMeters) reported() reportedRate {
	rates := make(reportedRate)
	for g := range m {
		if r := m[g].reported(); len(r) > 0 {
			rates[grade.Grade(g)] = r
		}
	}
	return rates
}

// demand holds the rates at which requests arrive at all entries, whether they're admitted
// or not. Package ration doesn't know them: it counts what is admitted here.
type demand struct {
	teams, roots gradeMeters
	// admitted counts the admitted requests by root.
	admitted meters
	peers    map[string]*peerDemand
	// The sums of the peers' rates are updated with each card, as there may be thousands
	// of peers.
	teamSums, rootSums gradeSums
	admittedSums       map[uint32]float64
}

// peerDemand is the demand at another entry according to its cards.
type peerDemand struct {
	teams, roots             reportedRate
	admitted                 map[uint32]float32
	teamsMillis, rootsMillis int64
}

func newDemand() demand {
	d := demand{admitted: make(meters), peers: make(map[string]*peerDemand), admittedSums: make(map[uint32]float64)}
	for g := range grade.Count {
		d.teams[g], d.roots[g] = make(meters), make(meters)
		d.teamSums[g], d.rootSums[g] = make(map[uint32]float64), make(map[uint32]float64)
	}
	return d
}

func (d *demand) recordArrival(q request) {
	d.teams[q.grade].record(q.team)
	d.roots[q.grade].record(q.root)
}

func (d *demand) recordAdmitted(q request) { d.admitted.record(q.root) }

func (d *demand) teamRate(g grade.Grade, hash uint32) float64 {
	return d.teams[g].rate(hash) + d.teamSums[g][hash]
}

func (d *demand) rootRate(g grade.Grade, hash uint32) float64 {
	return d.roots[g].rate(hash) + d.rootSums[g][hash]
}

func (d *demand) admittedRate(root uint32) float64 {
	return d.admitted.rate(root) + d.admittedSums[root]
}

func (d *demand) learn(c card.Card, now int64) bool {
	if c.TeamRates == nil && c.RootRates == nil {
		return true
	}
	p, ok := d.peers[c.Peers]
	if !ok {
		p = &peerDemand{}
		d.peers[c.Peers] = p
	}
	teams, teamsUsed := usableRates(c.TeamRates)
	roots, rootsUsed := usableRates(c.RootRates)
	admitted, admittedUsed := usable(c.AdmittedRates)
	if c.TeamRates != nil {
		d.setTeams(p, teams)
		p.teamsMillis = now
	}
	if c.RootRates != nil {
		d.setRoots(p, roots, admitted)
		p.rootsMillis = now
	}
	return teamsUsed && rootsUsed && admittedUsed
}

func (d *demand) setTeams(p *peerDemand, teams reportedRate) {
	d.teamSums.add(p.teams, -1)
	d.teamSums.add(teams, 1)
	p.teams = teams
}

func (d *demand) setRoots(p *peerDemand, roots reportedRate, admitted map[uint32]float32) {
	d.rootSums.add(p.roots, -1)
	d.rootSums.add(roots, 1)
	addRates(d.admittedSums, p.admitted, -1)
	addRates(d.admittedSums, admitted, 1)
	p.roots, p.admitted = roots, admitted
}

func (d *demand) forget(peer string) {
	if p, ok := d.peers[peer]; ok {
		d.setTeams(p, nil)
		d.setRoots(p, nil, nil)
		delete(d.peers, peer)
	}
}

// describe adds the rates to the card with this number.
func (d *demand) describe(c card.Card, number int, divided bool) card.Card {
	if divided && number%dividedCards == 0 {
		c.TeamRates = d.teams.reported()
	}
	if divided && number%dividedCards == 0 || number%normalCards == 0 {
		c.RootRates, c.AdmittedRates = d.roots.reported(), d.admitted.reported()
	}
	return c
}

func (d *demand) tick(now int64, millis float64) {
	for g := range grade.Count {
		d.teams[g].tick(millis)
		d.roots[g].tick(millis)
	}
	d.admitted.tick(millis)
	for name, p := range d.peers {
		if p.teams != nil && now-p.teamsMillis > teamsMillis {
			d.setTeams(p, nil)
		}
		if now-p.rootsMillis > rootsMillis {
			d.forget(name)
		}
	}
}

func (s *gradeSums) add(rates reportedRate, sign float64) {
	for g, r := range rates {
		addRates(s[g], r, sign)
	}
}

// addRates adds rates to sums, or subtracts them if sign is -1.
func addRates(sums map[uint32]float64, rates map[uint32]float32, sign float64) {
	for hash, r := range rates {
		sums[hash] += sign * float64(r)
		// Rates below minReportedRate aren't reported, so this is what rounding leaves.
		if sums[hash] < minReportedRate/2 {
			delete(sums, hash)
		}
	}
}

// usableRates returns the possible rates, and whether that's all of them.
func usableRates(rates reportedRate) (reportedRate, bool) {
	possible, all := make(reportedRate, len(rates)), true
	for g, r := range rates {
		if g < 0 || g >= grade.Count {
			all = false
			continue
		}
		var ok bool
		possible[g], ok = usable(r)
		all = all && ok
	}
	return possible, all
}

func usable(rates map[uint32]float32) (map[uint32]float32, bool) {
	possible := maps.Clone(rates)
	maps.DeleteFunc(possible, func(_ uint32, r float32) bool { return !(r >= minReportedRate && r <= maxRate) })
	return possible, len(possible) == len(rates)
}
