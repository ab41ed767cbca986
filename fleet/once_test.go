package fleet_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/fleet"
	"bergamotloom.example/header"
	"bergamotloom.example/inst"
	"bergamotloom.example/layout"
	"bergamotloom.example/relay"
	"bergamotloom.example/runst"
)

const (
	bookingKeys          = 500
	bookingInterval      = 16 * time.Millisecond
	maxBookingSends      = 4
	bookingTimeoutMillis = "3000"
	faultInterval        = 120 * time.Millisecond
	noResponseOutcome    = "NoAnswer"
	servedOutcome        = "Served"
	maxRetryWaitMillis   = 250
	// At least one in minRespondedOneIn requests must get a response, or the
	// test is inconclusive.
	minRespondedOneIn = 10
)

// sendResult is the result of sending a request with an idempotency key once.
type sendResult struct {
	idempotencyKey string
	requestID      string
	outcome        string
	body           string
}

// sendResults collects the results of all callers.
type sendResults struct {
	mutex sync.Mutex
	all   []sendResult
}

func (s *sendResults) add(result sendResult) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all = append(s.all, result)
}

// sendBooking sends a request once. The outcome is Served, the run state of a
// refusal or of a replayed response, or NoAnswer.
func sendBooking(ctx context.Context, client *http.Client, node, idempotencyKey string) sendResult {
	result := sendResult{idempotencyKey: idempotencyKey, outcome: noResponseOutcome}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/book/1?bytes=64", strings.NewReader("boat"))
	if err != nil {
		return result
	}
	request.Header.Set(header.Authorization, header.Bearer+apiKey)
	request.Header.Set(header.IdempotencyKey, idempotencyKey)
	request.Header.Set(header.Marker, idempotencyKey)
	request.Header.Set(header.Timeout, bookingTimeoutMillis)
	response, err := client.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result
	}
	result.requestID = response.Header.Get(header.Request)
	result.outcome = servedOutcome
	if ran := response.Header.Get(runst.Header); ran != "" {
		result.outcome = ran
	}
	result.body = string(body)
	return result
}

// bookUntilResponse sends a request, in some cases to two nodes at the same time,
// and retries it at random nodes until it gets the response of its run, as callers do.
func bookUntilResponse(ctx context.Context, client *http.Client, callers []string, random *rand.Rand, idempotencyKey string, results *sendResults) {
	toTwoNodes := random.IntN(3) == 0
	for range maxBookingSends {
		var wait sync.WaitGroup
		nodes := []string{callers[random.IntN(len(callers))]}
		if toTwoNodes {
			nodes = append(nodes, callers[random.IntN(len(callers))])
		}
		toTwoNodes = false
		responded := make(chan bool, len(nodes))
		for _, n := range nodes {
			wait.Go(func() {
				result := sendBooking(ctx, client, n, idempotencyKey)
				results.add(result)
				responded <- result.outcome == servedOutcome || result.outcome == string(runst.Once)
			})
		}
		wait.Wait()
		if <-responded {
			return
		}
		time.Sleep(time.Duration(random.IntN(maxRetryWaitMillis)) * time.Millisecond)
	}
}

// injectFault injects one random fault into the fleet and ends it, except for
// lost responses, which end after eight writes.
func injectFault(t *testing.T, f *fleet.Fleet, random *rand.Rand) {
	t.Helper()
	in := f.Instances[random.IntN(len(f.Instances))]
	duration := time.Duration(50+random.IntN(300)) * time.Millisecond
	switch random.IntN(9) {
	case 0:
		in.PeerRelay.ApplyAfter(relay.Up, random.Int64N(3000), relay.Reset)
		time.Sleep(duration)
		in.PeerRelay.ClearApplyAfter()
	case 1:
		in.PeerRelay.ApplyAfter(relay.Down, random.Int64N(3000), relay.Cut)
		time.Sleep(duration)
		in.PeerRelay.ClearApplyAfter()
	case 2:
		in.TargetRelay.ApplyAfter(relay.Up, random.Int64N(600), relay.Reset)
		time.Sleep(duration)
		in.TargetRelay.ClearApplyAfter()
	case 3:
		in.TargetRelay.ApplyAfter(relay.Down, random.Int64N(300), relay.Cut)
		time.Sleep(duration)
		in.TargetRelay.ClearApplyAfter()
	case 4:
		in.Target.Kill()
		assert.NilError(t, f.StartTarget(t.Context(), in))
	case 5:
		restartNode(t, f, in)
	case 6:
		in.Node.Suspend()
		time.Sleep(duration)
		in.Node.Resume()
	case 7:
		setPlatformFaults(t, f, `{"LoseAnswers": 8}`)
	default:
		setPlatformFaults(t, f, `{"Outage": true}`)
		time.Sleep(duration)
		setPlatformFaults(t, f, `{"Outage": false}`)
	}
}

// restartNode kills a node and starts it again at the same addresses.
func restartNode(t *testing.T, f *fleet.Fleet, in *inst.Instance) {
	t.Helper()
	in.Node.Kill()
	assert.NilError(t, f.StartNode(t.Context(), in))
}

// setPlatformFaults changes fault settings of the platform's stand-in.
func setPlatformFaults(t *testing.T, f *fleet.Fleet, settings string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.Platform.ReadyLine()+"/switches", strings.NewReader(settings))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode/100, 2)
}

// A non-idempotent request with an idempotency key never runs twice, and one
// that is refused with the run state Never didn't run. The test guards against
// failures of this under killed and suspended processes, connections that end
// within a message, lost responses and outages of the store, and callers that
// retry, also at two nodes at the same time.
func TestARequestWithAnIdempotencyKeyRunsAtMostOnce(t *testing.T) {
	f := start(t, layout.New("c1", "c2").WithService("stock", 2, "--work-millis", "20", "--slots", "50").WithRelays())
	client := &http.Client{Timeout: 4 * time.Second}
	results := &sendResults{}
	addresses := f.CallerAddresses()
	var callers sync.WaitGroup
	allSent := make(chan struct{})
	callers.Go(func() {
		defer close(allSent)
		for i := range bookingKeys {
			time.Sleep(bookingInterval)
			random := rand.New(rand.NewPCG(1, uint64(i)))
			callers.Go(func() {
				bookUntilResponse(t.Context(), client, addresses, random, fmt.Sprintf("once-%d", i), results)
			})
		}
	})
	random := rand.New(rand.NewPCG(7, 7))
	for sending := true; sending; {
		injectFault(t, f, random)
		select {
		case <-allSent:
			sending = false
		case <-time.After(faultInterval):
		}
	}
	callers.Wait()
	checkRunsAtMostOnce(t, f, results.all)
}

// checkRunsAtMostOnce compares the results of the callers with the records of the targets.
func checkRunsAtMostOnce(t *testing.T, f *fleet.Fleet, results []sendResult) {
	t.Helper()
	runs, err := f.Runs()
	assert.NilError(t, err)
	runsByKey := make(map[string]int)
	ran := make(map[string]bool)
	for _, r := range runs {
		if r.IdempotencyKey != "" {
			runsByKey[r.IdempotencyKey]++
			ran[r.Request] = true
		}
	}
	for k, n := range runsByKey {
		assert.Assert(t, n <= 1, "%s ran %d times", k, n)
	}
	outcomes := make(map[string]int)
	bodies := make(map[string]string)
	for _, s := range results {
		outcomes[s.outcome]++
		switch s.outcome {
		case string(runst.Never):
			assert.Assert(t, !ran[s.requestID], "a request with key %s was refused as Never and ran", s.idempotencyKey)
		case servedOutcome, string(runst.Once):
			first, repeated := bodies[s.idempotencyKey]
			assert.Assert(t, !repeated || first == s.body, "%s got two different responses", s.idempotencyKey)
			bodies[s.idempotencyKey] = s.body
			assert.Equal(t, runsByKey[s.idempotencyKey], 1, s.idempotencyKey)
		}
	}
	t.Logf("%d requests ran of %d, %d got a response; sends by outcome: %v", len(runsByKey), bookingKeys, len(bodies), outcomes)
	assert.Assert(t, len(bodies) > bookingKeys/minRespondedOneIn, "too few requests got a response for the test to be conclusive")
}
