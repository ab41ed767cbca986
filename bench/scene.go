package bench

// scene is one scenario: what happens between warmMillis and the end of its
// cause, after which things are as before.
type scene struct {
	name string
	help string
	// demand multiplies the capacity to give what clients send, 0 for the
	// usual part.
	demand float64
	// speed is that of the deepest service while the cause lasts.
	speed float64
	// hard says that callers and targets send each failed call again three
	// times, all the time.
	hard bool
	// hog is how many times its rate one team sends, 0 for none.
	hog float64
	// lost and cold say that a third of the servers goes for good or is
	// replaced.
	lost bool
	cold bool
	// report is what is wrong with load reports all the time.
	report report
	// broken says that the deepest service fails every call while the cause
	// lasts.
	broken bool
	// claims multiplies the slots that targets announce.
	claims float64
	// causeMillis is how long the cause lasts.
	causeMillis float64
}

// report is a fault of the targets' load reports.
type report int

const (
	reportFresh report = iota
	reportLate
	reportStuck
	reportIdle
)

const (
	warmMillis  = 5_000
	longMillis  = 30_000
	coldMillis  = 3_000
	afterMillis = 10_000
)

func scenes() []scene {
	all := []scene{
		{name: "brim", help: "demand at 0.9 times the capacity, all teams inside their rates", demand: 0.9},
		{name: "surge1.5", help: "demand at 1.5 times the capacity", demand: 1.5},
		{name: "surge3", help: "demand at 3 times the capacity", demand: 3},
		{name: "surge10", help: "demand at 10 times the capacity", demand: 10},
		{name: "slow", help: "the deepest service at a quarter of its speed", speed: 0.25},
		{name: "hard", help: "failed calls sent again three times at every hop, demand at 3 times the capacity", demand: 3, hard: true},
		{name: "hog", help: "one team at eight times its rate", hog: 8},
		{name: "cold", help: "a third of the servers replaced by cold ones", cold: true, causeMillis: coldMillis},
		{name: "late", help: "load reports 5 s late, demand at 3 times the capacity", demand: 3, report: reportLate},
		{name: "stuck", help: "load reports that never change, demand at 3 times the capacity", demand: 3, report: reportStuck},
		{name: "idle", help: "load reports that say idle, demand at 3 times the capacity", demand: 3, report: reportIdle},
		{name: "claims", help: "targets that announce three times their slots, demand at 3 times the capacity", demand: 3, claims: 3},
		{name: "lost", help: "a third of the servers lost", lost: true},
		{name: "broken", help: "the deepest service fails every call, failed calls sent again three times at every hop", broken: true, hard: true},
		{name: "worst", help: "a slow deep service, a surge to 3 times the capacity and hard retries at once", speed: 0.25, demand: 3, hard: true},
	}
	for i := range all {
		if all[i].causeMillis == 0 {
			all[i].causeMillis = longMillis
		}
		if all[i].speed == 0 {
			all[i].speed = 1
		}
		if all[i].claims == 0 {
			all[i].claims = 1
		}
	}
	return all
}

// endMillis is when the cause ends, stopMillis when the scenario does.
func (s *scene) endMillis() float64 { return warmMillis + s.causeMillis }

func (s *scene) stopMillis() float64 { return s.endMillis() + afterMillis }

// during tells whether the cause lasts at this time.
func (s *scene) during(now float64) bool {
	return now >= warmMillis && now < s.endMillis()
}

// near tells whether a request with this timeout, sent before the cause, may
// meet it, or whether things still settle after it: servers that come back
// are cold at first.
func (s *scene) near(sent, timeout float64) bool {
	before := sent < warmMillis && sent+timeout >= warmMillis
	settled := s.endMillis() + settleMillis
	if s.lost {
		settled += coldMillis
	}
	return before || sent >= s.endMillis() && sent < settled
}
