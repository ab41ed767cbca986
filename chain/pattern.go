package chain

// pattern is a load pattern: a disturbance from disturbanceStartMillis until
// disturbanceEndMillis.
type pattern struct {
	name string
	help string
	// demand is the rate of callers' requests as a multiple of the usual one.
	demand float64
	// ignoresRetryAfter says that callers ignore the delay that a refusal asks for, and retry
	// almost at once.
	ignoresRetryAfter bool
	// affectedFraction is the fraction of the instances that are affected, in
	// firstService and each service after it. They work at the given speed, relative
	// to 1, reject rejectFraction of their calls, or are lost.
	affectedFraction float64
	firstService     int
	speed            float64
	rejectFraction   float64
	lost             bool
	// joining is the number of cold instances that join each service from
	// firstService on.
	joining int
}

const (
	disturbanceStartMillis = 10_000
	disturbanceEndMillis   = 30_000
	endMillis              = 45_000
	// burstFactor is the demand in a burst, as on the peak days of users' deployments.
	burstFactor = 1.7
)

func patterns() []pattern {
	return []pattern{
		{name: "calm", help: "the scarce service at five sixths of what it can do", demand: 1, speed: 1},
		{name: "burst", help: "1.7 times the requests for 20 s", demand: burstFactor, speed: 1},
		{name: "hasty", help: "the burst, with callers that come back at once", demand: burstFactor, speed: 1, ignoresRetryAfter: true},
		{name: "half", help: "the burst, with a third of the instances at half of their speed", demand: burstFactor, affectedFraction: 1.0 / 3, speed: 0.5},
		{name: "grey", help: "a third of the scarce service's instances reject half of what comes", demand: 1, affectedFraction: 1.0 / 3, firstService: stock, speed: 1, rejectFraction: 0.5},
		{name: "shed", help: "the burst, with all of the scarce service's instances rejecting half of what comes", demand: burstFactor, affectedFraction: 1, firstService: stock, speed: 1, rejectFraction: 0.5},
		{name: "fresh", help: "the burst, with a new cold instance of the scarce service", demand: burstFactor, firstService: stock, speed: 1, joining: 1},
		{name: "lost", help: "the burst, with a fifth of the instances of each service lost", demand: burstFactor, affectedFraction: 0.2, speed: 1, lost: true},
	}
}

// isDisturbed reports whether the disturbance is on at this time.
func (p *pattern) isDisturbed(now float64) bool {
	return now >= disturbanceStartMillis && now < disturbanceEndMillis
}

// isAffected reports whether the disturbance affects this instance of a service.
func (p *pattern) isAffected(service, instance int) bool {
	affected := int(p.affectedFraction*float64(services()[service].instances) + roundUp)
	return service >= p.firstService && instance < affected
}

// roundUp, added before truncation, rounds a fraction of the instances up, so that
// it's at least one.
const roundUp = 0.99
