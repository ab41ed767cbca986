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

// blockedBound is the promise: after two crashes a request is refused
// everywhere within this time.
const blockedBound = 2 * time.Second

// mostSends is how often the caller sends the crashing request at most, until
// it has crashed two targets.
const mostSends = 2

// crashes counts the runs of the crashing request, each of which ends its
// process before it could record the end.
func crashes(t *testing.T, f *fleet.Fleet) int {
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

// A request that crashes its targets is refused everywhere after two crashes,
// however often and wherever its caller sends it again. What was running in
// one of the crashes is not blamed.
func TestACrashingRequestIsRefusedEverywhereAfterTwoCrashes(t *testing.T) {
	f := start(t, layout.New("c1", "c2").WithService("stock", 2, "--crash-mark", "Crash", "--work-millis", "150"))
	bystander := make(chan string)
	go func() { bystander <- get(t, f.Instances[0].Callers, "/stock/bystander?bytes=0") }()
	time.Sleep(30 * time.Millisecond)
	// The node itself sends it to a second instance if its budget has a retry;
	// else the caller does, as callers do.
	for range mostSends {
		if crashes(t, f) < 2 {
			get(t, f.Instances[0].Callers, "/stock/bad?Crash=1")
		}
	}
	<-bystander
	assert.Equal(t, crashes(t, f), 2)
	time.Sleep(blockedBound)
	for _, in := range f.Instances {
		if !in.Target.Alive() {
			assert.NilError(t, f.StartTarget(t.Context(), in))
		}
	}
	waitReady(t, f)
	for _, in := range f.Instances {
		got := get(t, in.Callers, "/stock/bad?Crash=1")
		assert.Assert(t, strings.Contains(got, string(reason.CrashSuspect)), "%s answers %q", in.Name, got)
		assert.Equal(t, get(t, in.Callers, "/stock/bystander?bytes=0"), "")
	}
	assert.Equal(t, crashes(t, f), 2)
}
