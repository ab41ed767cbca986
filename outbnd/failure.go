package outbnd

import (
	"net/http"
	"strconv"

	"bergamotloom.example/delay"
	"bergamotloom.example/output"
	"bergamotloom.example/runst"
)

const millisPerSecond = 1000

// writeFailure writes the response to a request for which no target sent one. A
// header says whether the request may have run. With status 429 or 503 the
// response has a Retry-After, in seconds with a fraction. RemainingMillis and
// objectiveMillis are the times left until the deadline and the objective,
// random is between 0 and 1.
func writeFailure(w http.ResponseWriter, o output.Output, remainingMillis, objectiveMillis, random float64) {
	status := o.Reason.Status()
	if o.Ran == runst.Never && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	h.Set(runst.Header, string(o.Ran))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		delayMillis := float64(o.RetryAfterMillis)
		if delayMillis <= 0 {
			delayMillis = delay.Millis(o.Reason, remainingMillis, objectiveMillis, random)
		}
		h.Set("Retry-After", strconv.FormatFloat(delayMillis/millisPerSecond, 'f', 3, 64))
	}
	body := o.Reason.Text() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// The caller may have closed the connection.
	_, _ = w.Write([]byte(body))
}
