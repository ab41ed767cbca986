package outbnd

import (
	"net/http"
	"strconv"

	"bergamotloom.example/output"
	"bergamotloom.example/recall"
	"bergamotloom.example/runst"
)

const millisPerSecond = 1000

// refuse answers a request that has no answer of a target. Of one that never
// ran that's said, with the time after which the caller may come back.
func refuse(w http.ResponseWriter, o output.Output, leftMillis, goalMillis, random float64) {
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
			wait = recall.Millis(o.Reason, leftMillis, goalMillis, random)
		}
		h.Set("Retry-After", strconv.FormatFloat(wait/millisPerSecond, 'f', 3, 64))
	}
	body := o.Reason.Text() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// The caller may have gone.
	_, _ = w.Write([]byte(body))
}
