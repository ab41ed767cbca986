package gate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/gate"
	"bergamotloom.example/rank"
	"bergamotloom.example/ticket"
)

// admitUnderLoad returns a function that admits one more request at a gate
// whose slots are taken and whose queue isn't empty: the request arrives, the
// oldest running one ends, and a queued one starts.
func admitUnderLoad() func() {
	const slots = 100
	c, advance := clock.NewManual(0)
	g := gate.New(c, slots, 0, true)
	var running []*ticket.Ticket
	tickets := make([]ticket.Ticket, 3*slots)
	recordStart := func(t *ticket.Ticket) {
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
		t.DeadlineMillis, t.OnSettled = c.Now()+distantDeadlineMillis, recordStart
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
	admit := admitUnderLoad()
	for range 10_000 {
		admit()
	}
	assert.Equal(t, testing.AllocsPerRun(10_000, admit), 0.0)
}

func BenchmarkAdmission(b *testing.B) {
	admit := admitUnderLoad()
	b.ReportAllocs()
	for b.Loop() {
		admit()
	}
}
