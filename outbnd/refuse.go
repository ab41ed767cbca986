package outbnd

import (
	"net/http"
	"strconv"

	"bergamotloom.example/output"
	"bergamotloom.example/reason"
	"bergamotloom.example/runst"
)

const (
	// waitPart of the time left is the most that a caller waits before it asks
	// again.
	waitPart = 0.33
	// leastWaitMillis passes before a refused caller is asked back.
	leastWaitMillis = 50
	millisPerSecond = 1000
)

// refuse answers a request that has no answer of a target. Of a request that
// never ran, that's said; the caller may come back at a random moment of the
// time that it waits at most, so that those who were refused together don't
// come back together.
func refuse(w http.ResponseWriter, o output.Output, leftMillis, random float64) {
	status := o.Reason.Status()
	if o.Ran == runst.Never && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	h.Set(runst.Header, string(o.Ran))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		wait := float64(o.RetryAfterMillis)
		if wait <= 0 {
			wait = leastWaitMillis + random*max(leftMillis*waitPart-leastWaitMillis, 0)
		}
		if o.Reason == reason.Leaving || o.Reason == reason.NoInstance {
			wait = min(wait, leastWaitMillis*4)
		}
		h.Set("Retry-After", strconv.FormatFloat(wait/millisPerSecond, 'f', 3, 64))
	}
	body := o.Reason.Text() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// The caller may have gone.
	_, _ = w.Write([]byte(body))
}
