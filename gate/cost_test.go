package gate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/gate"
	"bergamotloom.example/rank"
	"bergamotloom.example/ticket"
)

// busyGate returns a gate whose slots are taken and whose queue isn't empty,
// and a function that admits one more request: it arrives, the one before it
// ends, and a queued one starts.
func busyGate() func() {
	const slots = 100
	c, advance := clock.NewManual(0)
	g := gate.New(c, slots, 0, true)
	var running []*ticket.Ticket
	tickets := make([]ticket.Ticket, 3*slots)
	started := func(t *ticket.Ticket) {
		if t.Started() {
			running = append(running, t)
		}
	}
	next := 0
	return func() {
		t := &tickets[next%len(tickets)]
		next++
		t.Reset()
		t.Team, t.Weight, t.Rank = teams[next%len(teams)], 1, rank.Rank(next%rank.Count)
		t.DeadlineMillis, t.OnSettled = c.Now()+farMillis, started
		g.Arrive(t)
		if t.Started() {
			running = append(running, t)
		}
		advance(0.1)
		if g.Waiting() > slots/10 {
			g.Finish(running[0], true, 0)
			running = append(running[:0], running[1:]...)
		}
	}
}

var teams = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func TestAdmissionAllocatesNothing(t *testing.T) {
	admit := busyGate()
	for range 10_000 {
		admit()
	}
	assert.Equal(t, testing.AllocsPerRun(10_000, admit), 0.0)
}

func BenchmarkAdmission(b *testing.B) {
	admit := busyGate()
	b.ReportAllocs()
	for b.Loop() {
		admit()
	}
}
