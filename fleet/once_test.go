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
	onceKeys      = 500
	onceGap       = 16 * time.Millisecond
	onceSends     = 4
	onceTimeout   = "3000"
	harmGap       = 120 * time.Millisecond
	noAnswer      = "NoAnswer"
	servedOutcome = "Served"
	resendMillis  = 250
	// leastAnswered is the part of the requests, as one in so many, that must
	// get through for the histories to mean anything.
	leastAnswered = 10
)

// sending is one sending of a request with an idempotency key.
type sending struct {
	key      string
	identity string
	outcome  string
	body     string
}

// sendings collects what all callers were told.
type sendings struct {
	mutex sync.Mutex
	all   []sending
}

func (s *sendings) add(one sending) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.all = append(s.all, one)
}

// book sends a request once and tells what came back: Served, the run state of
// a refusal or a replay, or NoAnswer.
func book(ctx context.Context, client *http.Client, node, idempotencyKey string) sending {
	one := sending{key: idempotencyKey, outcome: noAnswer}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/book/1?bytes=64", strings.NewReader("boat"))
	if err != nil {
		return one
	}
	request.Header.Set(header.Authorization, header.Bearer+key)
	request.Header.Set(header.IdempotencyKey, idempotencyKey)
	request.Header.Set(header.Marker, idempotencyKey)
	request.Header.Set(header.Timeout, onceTimeout)
	response, err := client.Do(request)
	if err != nil {
		return one
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return one
	}
	one.identity = response.Header.Get(header.Request)
	one.outcome = servedOutcome
	if ran := response.Header.Get(runst.Header); ran != "" {
		one.outcome = ran
	}
	one.body = string(body)
	return one
}

// bookUntilAnswered sends a request, at times at two nodes at the same moment,
// and again elsewhere until it's answered, as callers do.
func bookUntilAnswered(ctx context.Context, client *http.Client, callers []string, random *rand.Rand, name string, into *sendings) {
	twice := random.IntN(3) == 0
	for range onceSends {
		var both sync.WaitGroup
		nodes := []string{callers[random.IntN(len(callers))]}
		if twice {
			nodes = append(nodes, callers[random.IntN(len(callers))])
		}
		twice = false
		answered := make(chan bool, len(nodes))
		for _, n := range nodes {
			both.Go(func() {
				one := book(ctx, client, n, name)
				into.add(one)
				answered <- one.outcome == servedOutcome || one.outcome == string(runst.Once)
			})
		}
		both.Wait()
		if <-answered {
			return
		}
		time.Sleep(time.Duration(random.IntN(resendMillis)) * time.Millisecond)
	}
}

// onceHarm does one bad thing to the fleet and undoes it.
func onceHarm(t *testing.T, f *fleet.Fleet, random *rand.Rand) {
	t.Helper()
	in := f.Instances[random.IntN(len(f.Instances))]
	span := time.Duration(50+random.IntN(300)) * time.Millisecond
	switch random.IntN(9) {
	case 0:
		in.PeerRelay.ApplyAfter(relay.Up, random.Int64N(3000), relay.Reset)
		time.Sleep(span)
		in.PeerRelay.ClearApplyAfter()
	case 1:
		in.PeerRelay.ApplyAfter(relay.Down, random.Int64N(3000), relay.Cut)
		time.Sleep(span)
		in.PeerRelay.ClearApplyAfter()
	case 2:
		in.TargetRelay.ApplyAfter(relay.Up, random.Int64N(600), relay.Reset)
		time.Sleep(span)
		in.TargetRelay.ClearApplyAfter()
	case 3:
		in.TargetRelay.ApplyAfter(relay.Down, random.Int64N(300), relay.Cut)
		time.Sleep(span)
		in.TargetRelay.ClearApplyAfter()
	case 4:
		in.Target.Kill()
		assert.NilError(t, f.StartTarget(t.Context(), in))
	case 5:
		killNode(t, f, in)
	case 6:
		in.Node.Suspend()
		time.Sleep(span)
		in.Node.Resume()
	case 7:
		platformSwitch(t, f, `{"LoseAnswers": 8}`)
	default:
		platformSwitch(t, f, `{"Outage": true}`)
		time.Sleep(span)
		platformSwitch(t, f, `{"Outage": false}`)
	}
}

// killNode kills a node and starts it again at the same addresses.
func killNode(t *testing.T, f *fleet.Fleet, in *inst.Instance) {
	t.Helper()
	in.Node.Kill()
	assert.NilError(t, f.StartNode(t.Context(), in))
}

// platformSwitch sets switches of the platform's stand-in.
func platformSwitch(t *testing.T, f *fleet.Fleet, switches string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.Platform.FirstLine()+"/switches", strings.NewReader(switches))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode/100, 2)
}

// A non-idempotent request with an idempotency key never runs twice, and what
// was refused as Never didn't run: under kills, freezes, cuts in the middle of
// a message, lost answers of the store and its outages, with callers that
// resend, also at two nodes at the same moment.
func TestARequestWithAnIdempotencyKeyRunsAtMostOnce(t *testing.T) {
	f := start(t, layout.New("c1", "c2").WithService("stock", 2, "--work-millis", "20", "--slots", "50").WithRelays())
	client := &http.Client{Timeout: 4 * time.Second}
	told := &sendings{}
	ports := f.CallerAddresses()
	var callers sync.WaitGroup
	calm := make(chan struct{})
	callers.Go(func() {
		defer close(calm)
		for i := range onceKeys {
			time.Sleep(onceGap)
			random := rand.New(rand.NewPCG(1, uint64(i)))
			callers.Go(func() {
				bookUntilAnswered(t.Context(), client, ports, random, fmt.Sprintf("once-%d", i), told)
			})
		}
	})
	random := rand.New(rand.NewPCG(7, 7))
	for going := true; going; {
		onceHarm(t, f, random)
		select {
		case <-calm:
			going = false
		case <-time.After(harmGap):
		}
	}
	callers.Wait()
	checkOnce(t, f, told.all)
}

// checkOnce compares what callers were told with what the targets recorded.
func checkOnce(t *testing.T, f *fleet.Fleet, told []sending) {
	t.Helper()
	runs, err := f.Runs()
	assert.NilError(t, err)
	byKey := make(map[string]int)
	ran := make(map[string]bool)
	for _, r := range runs {
		if r.IdempotencyKey != "" {
			byKey[r.IdempotencyKey]++
			ran[r.Request] = true
		}
	}
	for k, n := range byKey {
		assert.Assert(t, n <= 1, "%s ran %d times", k, n)
	}
	outcomes := make(map[string]int)
	bodies := make(map[string]string)
	for _, s := range told {
		outcomes[s.outcome]++
		switch s.outcome {
		case string(runst.Never):
			assert.Assert(t, !ran[s.identity], "a sending of %s was refused as Never and ran", s.key)
		case servedOutcome, string(runst.Once):
			first, again := bodies[s.key]
			assert.Assert(t, !again || first == s.body, "%s was answered in two ways", s.key)
			bodies[s.key] = s.body
			assert.Equal(t, byKey[s.key], 1, s.key)
		}
	}
	t.Logf("%d requests ran of %d, %d were answered; sendings by outcome: %v", len(byKey), onceKeys, len(bodies), outcomes)
	assert.Assert(t, len(bodies) > onceKeys/leastAnswered, "too few requests got through for the test to mean anything")
}
