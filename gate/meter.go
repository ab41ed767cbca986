package gate

import (
	"bergamotloom.example/rank"
	"bergamotloom.example/ticket"
)

// meter counts what happens in one window.
type meter struct {
	since  float64
	last   float64
	area   float64
	demand [rank.Count]float64
	waited float64
	starts int
	ended  int
}

func newMeter(now float64) meter {
	return meter{since: now, last: now}
}

func (m *meter) arrived(t *ticket.Ticket) {
	m.demand[t.Rank] += t.Demand()
}

// moved adds the time during which so many requests ran.
func (m *meter) moved(now float64, running int) {
	m.area += (now - m.last) * float64(running)
	m.last = now
}

func (m *meter) started(waitMillis float64) {
	m.waited += waitMillis
	m.starts++
}

// busy returns the part of the limit that was in use.
func (m *meter) busy(limit int) float64 {
	span := m.last - m.since
	if span <= 0 || limit <= 0 {
		return 0
	}
	return m.area / span / float64(limit)
}

// wait returns the mean time in the queue, in milliseconds.
func (m *meter) wait() float64 {
	if m.starts == 0 {
		return 0
	}
	return m.waited / float64(m.starts)
}

func (m *meter) reset(now float64) {
	*m = newMeter(now)
}
