package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// refuseCrasher refuses a request that crashed the targets which ran it.
func refuseCrasher(e *Entry, k *work) (refuse.Refusal, bool) {
	left, refused := e.marks.Refuses(k.envelope.Fingerprint)
	if refused {
		return refuse.New(reason.CrashSuspect).WithRetryAfter(left), true
	}
	return pass()
}
