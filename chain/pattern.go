package chain

// pattern is a load pattern: what goes on from causeAt until causeEnd.
type pattern struct {
	name string
	help string
	// demand multiplies what callers send.
	demand float64
	// hasty callers send what failed or was refused again at once.
	hasty bool
	// part of the instances of each service from first on is disturbed: they
	// work at the given speed, reject this part of what comes, or are lost.
	part   float64
	first  int
	speed  float64
	reject float64
	lost   bool
	// fresh instances join each service from first on, cold.
	fresh int
}

const (
	causeAt  = 10_000
	causeEnd = 30_000
	stopAt   = 45_000
	// burst is what callers send in a burst, as on the users' days.
	burst = 1.7
)

func patterns() []pattern {
	return []pattern{
		{name: "calm", help: "the scarce service at five sixths of what it can do", demand: 1, speed: 1},
		{name: "burst", help: "1.7 times the requests for 20 s", demand: burst, speed: 1},
		{name: "hasty", help: "the burst, with callers that come back at once", demand: burst, speed: 1, hasty: true},
		{name: "half", help: "the burst, with a third of the instances at half of their speed", demand: burst, part: 1.0 / 3, speed: 0.5},
		{name: "grey", help: "a third of the scarce service's instances reject half of what comes", demand: 1, part: 1.0 / 3, first: stock, speed: 1, reject: 0.5},
		{name: "shed", help: "the burst, with all of the scarce service's instances rejecting half of what comes", demand: burst, part: 1, first: stock, speed: 1, reject: 0.5},
		{name: "fresh", help: "the burst, with a new cold instance of the scarce service", demand: burst, first: stock, speed: 1, fresh: 1},
		{name: "lost", help: "the burst, with a fifth of the instances of each service lost", demand: burst, part: 0.2, speed: 1, lost: true},
	}
}

func (p *pattern) during(now float64) bool {
	return now >= causeAt && now < causeEnd
}

// disturbed tells whether the cause concerns this instance of a service.
func (p *pattern) disturbed(service, instance int) bool {
	many := int(p.part*float64(services()[service].instances) + roundUp)
	return service >= p.first && instance < many
}

// roundUp makes a part of a few instances at least one.
const roundUp = 0.99
