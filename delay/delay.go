// Package delay decides when a refused caller should come back.
//
// Callers come back once, and wait at most a third of the time that they have
// left. Those who were refused together are spread over that time, so that
// they don't come together again; and no later than an answer is still worth
// most, if the caller can wait that long at all.
package delay

import "bergamotloom.example/reason"

const (
	// waitPart of the time left is the most that a caller waits.
	waitPart = 0.33
	// goalPart of the time in which an answer is worth most is the most that
	// it's asked to wait, as the work takes time too.
	goalPart = 0.5
	// leastMillis passes before a refused caller is asked back.
	leastMillis = 50
	// moveMillis is enough to find another instance after one was lost.
	moveMillis = 200
)

// Millis returns after how long a caller should come back that was refused for
// this reason, with so much time left for an answer, and for one that is worth
// most. Random is between 0 and 1.
func Millis(why reason.Reason, leftMillis, goalMillis, random float64) float64 {
	most := leftMillis * waitPart
	if why == reason.Leaving || why == reason.NoInstance || why == reason.NotInForce {
		return min(most, moveMillis)
	}
	if goal := goalMillis * goalPart; goal > leastMillis {
		most = min(most, goal)
	}
	return leastMillis + random*max(most-leastMillis, 0)
}
