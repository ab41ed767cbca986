package gate

// meter measures the use of the slots in one window. Times are in milliseconds.
type meter struct {
	startMillis float64
	lastMillis  float64
	// runningMillis is the integral of the number of running requests.
	runningMillis float64
	ended         int
}

func newMeter(now float64) meter {
	return meter{startMillis: now, lastMillis: now}
}

// accountUntil accounts for the time since the last call, in which the given
// number of requests ran.
func (m *meter) accountUntil(now float64, running int) {
	m.runningMillis += (now - m.lastMillis) * float64(running)
	m.lastMillis = now
}

// utilization returns the fraction of the limit that was in use.
func (m *meter) utilization(limit int) float64 {
	span := m.lastMillis - m.startMillis
	if span <= 0 || limit <= 0 {
		return 0
	}
	return m.runningMillis / span / float64(limit)
}

func (m *meter) reset(now float64) {
	*m = newMeter(now)
}
