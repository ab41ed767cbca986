package bench

// scenario is a disturbance between disturbanceStartMillis and
// disturbanceEndMillis, with faults that last for the whole run.
type scenario struct {
	name string
	help string
	// demandFactor is the demand during the disturbance as a multiple of the
	// capacity, 0 for the usual demand.
	demandFactor float64
	// speed is the relative speed of the deepest service during the disturbance.
	speed float64
	// aggressiveRetries says that clients and targets retry each failed call up to
	// maxAggressiveRetries times, during the whole run.
	aggressiveRetries bool
	// overRateFactor is the demand of one team as a multiple of its rate, 0 for none.
	overRateFactor float64
	// lost says that a third of the servers is lost until the end of the
	// disturbance, cold that a third is replaced by cold ones at its start.
	lost bool
	cold bool
	// reportFault is the fault of the load reports during the whole run.
	reportFault reportFault
	// broken says that the deepest service fails every call during the
	// disturbance.
	broken bool
	// slotsFactor is the ratio of the slots that targets announce to those that
	// they have.
	slotsFactor float64
	// disturbanceMillis is the length of the disturbance.
	disturbanceMillis float64
}

// reportFault is a fault of the targets' load reports.
type reportFault int

const (
	reportFresh reportFault = iota
	reportLate
	reportStuck
	reportIdle
)

const (
	disturbanceStartMillis   = 5_000
	defaultDisturbanceMillis = 30_000
	coldStartMillis          = 3_000
	recoveryWindowMillis     = 10_000
)

func scenarios() []scenario {
	all := []scenario{
		{name: "brim", help: "demand at 0.9 times the capacity, all teams inside their rates", demandFactor: 0.9},
		{name: "surge1.5", help: "demand at 1.5 times the capacity", demandFactor: 1.5},
		{name: "surge3", help: "demand at 3 times the capacity", demandFactor: 3},
		{name: "surge10", help: "demand at 10 times the capacity", demandFactor: 10},
		{name: "slow", help: "the deepest service at a quarter of its speed", speed: 0.25},
		{name: "hard", help: "failed calls sent again three times at every hop, demand at 3 times the capacity", demandFactor: 3, aggressiveRetries: true},
		{name: "hog", help: "one team at eight times its rate", overRateFactor: 8},
		{name: "cold", help: "a third of the servers replaced by cold ones", cold: true, disturbanceMillis: coldStartMillis},
		{name: "late", help: "load reports 5 s late, demand at 3 times the capacity", demandFactor: 3, reportFault: reportLate},
		{name: "stuck", help: "load reports that never change, demand at 3 times the capacity", demandFactor: 3, reportFault: reportStuck},
		{name: "idle", help: "load reports that say idle, demand at 3 times the capacity", demandFactor: 3, reportFault: reportIdle},
		{name: "claims", help: "targets that announce three times their slots, demand at 3 times the capacity", demandFactor: 3, slotsFactor: 3},
		{name: "lost", help: "a third of the servers lost", lost: true},
		{name: "broken", help: "the deepest service fails every call, failed calls sent again three times at every hop", broken: true, aggressiveRetries: true},
		{name: "worst", help: "a slow deep service, a surge to 3 times the capacity and hard retries at once", speed: 0.25, demandFactor: 3, aggressiveRetries: true},
	}
	for i := range all {
		if all[i].disturbanceMillis == 0 {
			all[i].disturbanceMillis = defaultDisturbanceMillis
		}
		if all[i].speed == 0 {
			all[i].speed = 1
		}
		if all[i].slotsFactor == 0 {
			all[i].slotsFactor = 1
		}
	}
	return all
}

// disturbanceEndMillis returns when the disturbance ends.
func (s *scenario) disturbanceEndMillis() float64 {
	return disturbanceStartMillis + s.disturbanceMillis
}

// endMillis returns when the scenario ends.
func (s *scenario) endMillis() float64 { return s.disturbanceEndMillis() + recoveryWindowMillis }

// isDisturbed reports whether the disturbance is on at this time.
func (s *scenario) isDisturbed(nowMillis float64) bool {
	return nowMillis >= disturbanceStartMillis && nowMillis < s.disturbanceEndMillis()
}

// nearDisturbance reports whether a request with this timeout, in milliseconds,
// was sent before the disturbance and may run into it, or was sent while the
// deployment still recovers from it: replaced servers are cold at first.
func (s *scenario) nearDisturbance(sentMillis, timeoutMillis float64) bool {
	before := sentMillis < disturbanceStartMillis && sentMillis+timeoutMillis >= disturbanceStartMillis
	recovered := s.disturbanceEndMillis() + settleMillis
	if s.lost {
		recovered += coldStartMillis
	}
	return before || sentMillis >= s.disturbanceEndMillis() && sentMillis < recovered
}
