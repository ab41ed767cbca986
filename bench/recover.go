package bench

const (
	// windowBins is the length, in bins, of the window in which recovery is checked.
	windowBins = 5
	// holdBins is for how many windows in a row recovery must hold.
	holdBins = 10
	// unfinishedBins leaves out the last requests, which may still be in flight.
	unfinishedBins = 20
	// minGoodputRatio and maxLatencyRatio, relative to the time before the
	// disturbance, are the bounds that count as recovered.
	minGoodputRatio = 0.95
	maxLatencyRatio = 1.2
)

// window is the sum of consecutive bins.
type window struct {
	requests, served, responses, latencySumMillis float64
}

func (t *tally) window(from, bins int) window {
	var s window
	for _, b := range t.bins[from:min(from+bins, len(t.bins)-1)] {
		s.requests += float64(b.requests)
		s.served += float64(b.served)
		s.responses += float64(b.responses)
		s.latencySumMillis += b.latencySumMillis
	}
	return s
}

// goodput returns the fraction of the requests first sent in the window that
// got a complete response.
func (s window) goodput() float64 { return fraction(s.responses, s.requests) }

// latency returns the mean latency of those responses in milliseconds.
func (s window) latency() float64 { return fraction(s.latencySumMillis, s.responses) }

// recovery returns the time from the end of the disturbance until goodput and
// latency are back to normal, in milliseconds, and whether that happened.
func (t *tally) recovery() (float64, bool) {
	before := t.window(measureFromMillis/binMillis, (disturbanceStartMillis-measureFromMillis)/binMillis)
	endBin := int(t.world.scenario.disturbanceEndMillis() / binMillis)
	held := 0
	for i := endBin; i+windowBins < len(t.bins)-unfinishedBins; i++ {
		s := t.window(i, windowBins)
		if s.goodput() < before.goodput()*minGoodputRatio || s.latency() > before.latency()*maxLatencyRatio {
			held = 0
			continue
		}
		held++
		if held == holdBins {
			return float64((i - holdBins + 1 - endBin) * binMillis), true
		}
	}
	return 0, false
}
