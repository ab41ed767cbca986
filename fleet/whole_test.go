package fleet_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/fleet"
	"bergamotloom.example/layout"
	"bergamotloom.example/plan"
	"bergamotloom.example/proc"
	"bergamotloom.example/relay"
	"bergamotloom.example/tally"
)

const (
	largeBytes = 100_000_000
	// growthBytes is how much more memory a node may hold for large bodies.
	growthBytes = 48 << 20
	// rateBound is how soon after an instance was lost no request inside its
	// team's rate is refused any more.
	rateBound = 5 * time.Second
)

// harm cuts and resets connections on the hop and to targets until ctx ends.
func harm(ctx context.Context, f *fleet.Fleet, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	for ctx.Err() == nil {
		in := f.Instances[random.IntN(len(f.Instances))]
		for _, r := range []*relay.Relay{in.PeerRelay, in.TargetRelay} {
			switch random.IntN(4) {
			case 0:
				r.Apply(relay.Cut)
			case 1:
				r.Apply(relay.Reset)
			case 2:
				r.ApplyAfter(relay.Down, random.Int64N(300_000), relay.Cut)
			default:
				r.ApplyAfter(relay.Up, random.Int64N(20_000), relay.Reset)
			}
		}
		time.Sleep(40 * time.Millisecond)
		in.PeerRelay.ClearApplyAfter()
		in.TargetRelay.ClearApplyAfter()
	}
}

// Answers are whole and the caller's own, or visibly not: under cuts and resets
// on the hop and to the targets, with late answers to callers that have gone.
func TestAnswersAreWholeOrVisiblyCut(t *testing.T) {
	f := start(t, layout.New("c1", "c2").WithService("stock", 2, "--jitter", "1", "--work-millis", "15").WithRelays())
	patient := ask(t, 300, 4, f.CallerAddresses()...).
		WithRoute("Small", http.MethodGet, "/stock/1?bytes=2000", 4).
		WithRoute("Large", http.MethodGet, "/stock/2?bytes=400000", 2).
		WithRoute("Book", http.MethodPost, "/book/1", 1)
	hasty := ask(t, 200, 4, f.CallerAddresses()...).
		WithRoute("Late", http.MethodGet, "/stock/3?bytes=3000", 1).
		WithTimeout(25)

	ctx, stop := context.WithCancel(t.Context())
	tallies := make([]*tally.Tally, 2)
	var sends, harms sync.WaitGroup
	harms.Go(func() { harm(ctx, f, 1) })
	for i, p := range []plan.Plan{patient, hasty} {
		sends.Go(func() { tallies[i] = send(t, p) })
	}
	sends.Wait()
	stop()
	harms.Wait()
	for _, made := range tallies {
		all := made.All()
		t.Logf("%d requests, %d served, not served: %v", all.Requests, all.Served, all.Reasons)
		assert.Equal(t, all.Wrong, int64(0))
		assert.Assert(t, all.Served > 0)
		assert.Assert(t, all.Served < all.Requests, "the harm had no effect")
	}
	// A home of a rate that was cut off with the rest has this long to be back.
	time.Sleep(rateBound)
	after := send(t, ask(t, 100, 1, f.CallerAddresses()...).WithRoute("After", http.MethodGet, "/stock/4", 1)).All()
	assert.Equal(t, after.Served, after.Requests, "%v", after.Reasons)
}

// Bodies of 100 MB pass both ways in constant memory of the nodes.
func TestLargeBodiesPassInConstantMemory(t *testing.T) {
	f := start(t, layout.New("c1").WithService("stock", 2))
	before := peaks(t, f)
	p := ask(t, 4, 0.7, f.CallerAddresses()...).WithTimeout(50_000)
	download := p.WithRoute("Download", http.MethodGet, "/stock/1", 1)
	download.Routes[0].AnswerBytes = largeBytes
	upload := p.WithRun(p.Run+"up").WithRoute("Upload", http.MethodPost, "/book/1", 1)
	upload.Routes[0].UploadBytes = largeBytes
	for _, each := range []plan.Plan{download, upload} {
		all := send(t, each).All()
		assert.Assert(t, all.Requests > 1)
		assert.Equal(t, all.Served, all.Requests, "%v", all.Reasons)
		t.Logf("%d bodies, the slowest took %.0f ms", all.Requests, all.MaxMillis)
	}
	for i, after := range peaks(t, f) {
		t.Logf("%s grew from %d to %d MB", f.Instances[i].Name, before[i]>>20, after>>20)
		assert.Assert(t, after-before[i] < growthBytes)
	}
}

func peaks(t *testing.T, f *fleet.Fleet) []int64 {
	t.Helper()
	var all []int64
	for _, in := range f.Instances {
		peak, err := proc.PeakMemoryBytes(in.Node.ID())
		assert.NilError(t, err)
		all = append(all, peak)
	}
	return all
}
