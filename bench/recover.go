package bench

const (
	// spanBins is the width of the window that recovery is judged by.
	spanBins = 5
	// holdBins is how long the judgement must hold.
	holdBins = 10
	// openBins leaves out the last requests, which may still be under way.
	openBins = 20
	// goodPart is the part of the goodput before that counts as recovered,
	// slowPart how much longer answers may take than before.
	goodPart = 0.95
	slowPart = 1.2
)

// span is what a few bins sum up to.
type span struct {
	asked, served, answered, waited float64
}

func (t *tally) span(from, bins int) span {
	var s span
	for _, b := range t.bins[from:min(from+bins, len(t.bins)-1)] {
		s.asked += float64(b.asked)
		s.served += float64(b.served)
		s.answered += float64(b.answered)
		s.waited += b.waited
	}
	return s
}

// goodput and latency are those of the requests first sent in the span.
func (s span) goodput() float64 { return part(s.answered, s.asked) }

func (s span) latency() float64 { return part(s.waited, s.answered) }

// recovery returns the time from the end of the cause until goodput and
// latency are back where they were before it, in milliseconds, and whether
// they came back.
func (t *tally) recovery() (float64, bool) {
	before := t.span(measureFromMillis/binMillis, (warmMillis-measureFromMillis)/binMillis)
	end := int(t.world.scene.endMillis() / binMillis)
	held := 0
	for i := end; i+spanBins < len(t.bins)-openBins; i++ {
		s := t.span(i, spanBins)
		if s.goodput() < before.goodput()*goodPart || s.latency() > before.latency()*slowPart {
			held = 0
			continue
		}
		held++
		if held == holdBins {
			return float64((i - holdBins + 1 - end) * binMillis), true
		}
	}
	return 0, false
}
