package fleet_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/fleet"
	"bergamotloom.example/layout"
	"bergamotloom.example/reason"
)

// maxRefusalDelay is the guaranteed time after two crashes until all nodes refuse
// the request.
const maxRefusalDelay = 2 * time.Second

// maxSends bounds how often the caller sends the crashing request. Each send
// crashes at least one target, and the test needs two crashes.
const maxSends = 2

// countCrashes counts the runs of the crashing request. Each run ends the target
// process before it records the end of the run.
func countCrashes(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	runs, err := f.Runs()
	assert.NilError(t, err)
	count := 0
	for _, r := range runs {
		if r.Path == "/stock/bad" {
			count++
		}
	}
	return count
}

// A request that crashes its targets is refused by all nodes after two crashes,
// however often and at whichever node its caller retries it. A request that ran
// in a target when another request crashed it isn't refused.
func TestACrashingRequestIsRefusedEverywhereAfterTwoCrashes(t *testing.T) {
	f := start(t, layout.New("c1", "c2").WithService("stock", 2, "--crash-mark", "Crash", "--work-millis", "150"))
	concurrent := make(chan string)
	go func() { concurrent <- getBody(t, f.Instances[0].Callers, "/stock/concurrent?bytes=0") }()
	time.Sleep(30 * time.Millisecond)
	// The node retries it at a second instance if its retry budget allows that;
	// otherwise the caller retries it.
	for range maxSends {
		if countCrashes(t, f) < 2 {
			getBody(t, f.Instances[0].Callers, "/stock/bad?Crash=1")
		}
	}
	<-concurrent
	assert.Equal(t, countCrashes(t, f), 2)
	time.Sleep(maxRefusalDelay)
	for _, in := range f.Instances {
		if !in.Target.Alive() {
			assert.NilError(t, f.StartTarget(t.Context(), in))
		}
	}
	waitReady(t, f)
	for _, in := range f.Instances {
		got := getBody(t, in.Callers, "/stock/bad?Crash=1")
		assert.Assert(t, strings.Contains(got, string(reason.CrashSuspect)), "%s responds with %q", in.Name, got)
		assert.Equal(t, getBody(t, in.Callers, "/stock/concurrent?bytes=0"), "")
	}
	assert.Equal(t, countCrashes(t, f), 2)
}
