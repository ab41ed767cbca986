package picker

import "bergamotloom.example/speed"

// slowness is the current run time at a target in relation to the mean on its node's
// card, as last reported by the node.
type slowness struct {
	reported       float64
	reportedMillis int64
	// factor is reported as of the last call of age.
	factor float64
}

func newSlowness(reported float64, now int64) slowness {
	s := slowness{reported: reported, reportedMillis: now}
	s.age(now)
	return s
}

// age updates the factor, which returns to 1 with the age of the report.
func (s *slowness) age(now int64) {
	s.factor = speed.Aged(s.reported, now-s.reportedMillis)
}

// LearnSlowness takes in the current run time at the target of a node in relation to the
// mean on the node's card; 0 if it isn't known.
func (p *Picker) LearnSlowness(peer string, slowness float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if n, ok := p.instances[peer]; ok {
		n.learnSlowness(slowness, p.clock.Now())
	}
}

func (n *instance) learnSlowness(reported float64, now int64) {
	if reported > 0 {
		n.slowness = newSlowness(reported, now)
	}
}
