package gate

// meter counts what happens in one window.
type meter struct {
	since float64
	last  float64
	area  float64
	ended int
}

func newMeter(now float64) meter {
	return meter{since: now, last: now}
}

// moved adds the time during which so many requests ran.
func (m *meter) moved(now float64, running int) {
	m.area += (now - m.last) * float64(running)
	m.last = now
}

// busy returns the part of the limit that was in use.
func (m *meter) busy(limit int) float64 {
	span := m.last - m.since
	if span <= 0 || limit <= 0 {
		return 0
	}
	return m.area / span / float64(limit)
}

func (m *meter) reset(now float64) {
	*m = newMeter(now)
}
