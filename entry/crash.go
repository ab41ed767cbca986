package entry

import (
	"bergamotloom.example/reason"
	"bergamotloom.example/refuse"
)

// refuseCrashSuspect refuses a request believed to crash the targets that run
// it.
func refuseCrashSuspect(e *Entry, x *exchange) (refuse.Refusal, bool) {
	remainingMillis, refused := e.suspects.Refuses(x.envelope.Fingerprint)
	if refused {
		return refuse.New(reason.CrashSuspect).WithRetryAfter(remainingMillis), true
	}
	return proceed()
}
