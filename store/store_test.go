package store_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/audit"
	"bergamotloom.example/clock"
	"bergamotloom.example/edit"
	"bergamotloom.example/faults"
	"bergamotloom.example/inforc"
	"bergamotloom.example/plat"
	"bergamotloom.example/record"
	"bergamotloom.example/result"
	"bergamotloom.example/shasum"
	"bergamotloom.example/store"
	"bergamotloom.example/table"
	"bergamotloom.example/write"
)

const callTimeout = 300 * time.Millisecond

// hasty is a table whose calls end after callTimeout, as those of the client.
type hasty struct{ table table.Table }

func (h hasty) Get(ctx context.Context, key string) (record.Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.table.Get(ctx, key)
}

func (h hasty) Scan(ctx context.Context, prefix string) ([]record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.table.Scan(ctx, prefix)
}

func (h hasty) Transact(ctx context.Context, token string, writes []write.Write) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.table.Transact(ctx, token, writes)
}

// report is what an operator was told of one edit.
type report struct {
	edit    edit.Edit
	result  result.Result
	unknown bool
	// floor is the highest version that anyone was told of before.
	floor int64
}

// world is a platform with operators who change the configuration.
type world struct {
	platform *plat.Platform
	store    *store.Store
	mutex    sync.Mutex
	reports  []report
	told     int64
}

func newWorld(f faults.Faults) *world {
	p := plat.New(clock.New(), f)
	return &world{platform: p, store: store.New(hasty{p.Table()}, clock.New())}
}

func (w *world) submit(e edit.Edit, within time.Duration) (result.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	w.mutex.Lock()
	floor := w.told
	w.mutex.Unlock()
	found, err := w.store.Submit(ctx, e)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.told = max(w.told, found.Version)
	w.reports = append(w.reports, report{edit: e, result: found, unknown: err != nil, floor: floor})
	return found, err
}

func team(name string, rate int) []byte {
	return fmt.Appendf(nil, "Teams: [{Name: %s, Rate: %d, Burst: 1}]\n", name, rate)
}

func put(token, name, content, base string) edit.Edit {
	return edit.Edit{
		Token: token, Who: token, Contents: map[string][]byte{name: []byte(content)},
		BaseDigests: map[string]string{name: base},
	}
}

func inBubble(t *testing.T, f faults.Faults, body func(*testing.T, *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { body(t, newWorld(f)) })
}

func TestTwoOperators(t *testing.T) {
	inBubble(t, faults.New(), func(t *testing.T, w *world) {
		a, b := string(team("a", 1)), string(team("b", 1))
		for i, e := range []edit.Edit{put("ana", "a.yaml", a, ""), put("bea", "b.yaml", b, "")} {
			r, err := w.submit(e, time.Minute)
			assert.NilError(t, err)
			assert.Assert(t, r.Accepted && r.Version == int64(i+1))
		}
		second := put("bea2", "a.yaml", string(team("a", 2)), "")
		r, err := w.submit(second, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, !r.Accepted)
		assert.Assert(t, strings.HasPrefix(r.RefusalReason(), "a.yaml was changed by ana at 2000-01-01T"), r.RefusalReason())
		r, err = w.submit(put("cid", "c.yaml", a, ""), time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, r.RefusalReason(), `c.yaml:1:10: team "a" is already defined at a.yaml:1:10`)
		r, err = w.submit(put("bea3", "a.yaml", a, ""), time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, !r.Accepted && !r.Refused() && r.Version == 2)
		w.check(t)
	})
}

// TestHistories lets operators race while the platform misbehaves, and then
// holds what they were told against what the table keeps.
func TestHistories(t *testing.T) {
	accepted, refused, unknown := 0, 0, 0
	for seed := range uint64(40) {
		inBubble(t, faults.New(), func(t *testing.T, w *world) {
			w.race(seed)
			w.check(t)
			for _, r := range w.reports {
				switch {
				case r.unknown:
					unknown++
				case r.result.Accepted:
					accepted++
				case r.result.Refused():
					refused++
				}
			}
		})
	}
	t.Logf("accepted %d, refused %d, unknown %d", accepted, refused, unknown)
	assert.Assert(t, accepted > 100 && refused > 20 && unknown > 0)
}

func (w *world) race(seed uint64) {
	var operators sync.WaitGroup
	for o := range uint64(4) {
		operators.Go(func() { w.operate(rand.New(rand.NewPCG(seed, o))) })
	}
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() { w.misbehave(rand.New(rand.NewPCG(seed, 99)), stop) })
	operators.Wait()
	close(stop)
	chaos.Wait()
	w.platform.SetFaults(faults.New())
	time.Sleep(time.Minute)
}

// operate changes files that it has seen, at times wrongly.
func (w *world) operate(r *rand.Rand) {
	for range 8 {
		name := fmt.Sprintf("f%d.yaml", r.IntN(4))
		base := ""
		if seen, err := w.store.Read(context.Background()); err == nil {
			base = seen.Files[name].Digest
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		e := put(fmt.Sprintf("t%x", r.Uint64()), name, string(team(name[:2], r.IntN(1000))), base)
		if r.IntN(5) == 0 {
			e = edit.Edit{Token: e.Token, Who: e.Who, Removed: []string{name}, BaseDigests: e.BaseDigests}
		}
		_, _ = w.submit(e, time.Duration(r.IntN(5000))*time.Millisecond)
	}
}

func (w *world) misbehave(r *rand.Rand, stop chan struct{}) {
	for {
		f := faults.New().WithLostAnswers(r.IntN(3)).WithOlderReads(int64(r.IntN(2)) * r.Int64N(400))
		switch r.IntN(5) {
		case 0:
			f = f.WithOutage(true)
		case 1:
			f = f.WithSilence(true)
		case 2:
			f = f.WithSlowMillis(int64(r.IntN(450)))
		}
		w.platform.SetFaults(f)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(1000)) * time.Millisecond):
		}
	}
}

// check holds the reports, the trail, the changes and the files together.
func (w *world) check(t *testing.T) {
	t.Helper()
	ctx := t.Context()
	lines, err := w.store.Audit(ctx, 0)
	assert.NilError(t, err)
	byToken := make(map[string]audit.Line)
	versions := int64(0)
	for _, l := range lines {
		_, twice := byToken[l.Token]
		assert.Assert(t, !twice, l)
		byToken[l.Token] = l
		if l.Refused == "" {
			versions++
			assert.Equal(t, l.After, versions)
		}
	}
	reported := make(map[string]report)
	for _, r := range w.reports {
		reported[r.edit.Token] = r
		l, ok := byToken[r.edit.Token]
		assert.Assert(t, r.unknown || r.result.Version >= r.floor, "%d after %d", r.result.Version, r.floor)
		switch {
		case r.unknown:
		case r.result.Accepted:
			assert.Assert(t, ok && l.Refused == "" && l.After == r.result.Version, l)
		case r.result.Refused():
			assert.Assert(t, ok && l.Refused != "" && l.Before == r.result.Version, l)
		default:
			assert.Assert(t, !ok, l)
		}
	}
	w.checkChanges(t, lines, reported)
}

// checkChanges replays the trail at a node and holds it against the files.
func (w *world) checkChanges(t *testing.T, lines []audit.Line, reported map[string]report) {
	t.Helper()
	node := inforc.New()
	for _, l := range lines {
		if l.Refused != "" {
			continue
		}
		c, ok, err := w.store.Change(t.Context(), l.After)
		assert.NilError(t, err)
		assert.Assert(t, ok)
		e, before := reported[l.Token].edit, node.Whole().Contents
		for _, name := range append(slices.Collect(maps.Keys(c.Contents)), c.Removed...) {
			was, there := before[name]
			assert.Assert(t, there == (e.BaseDigests[name] != ""), "%s overwrote %s unseen", l, name)
			assert.Assert(t, !there || shasum.Of(was) == e.BaseDigests[name], "%s overwrote %s unseen", l, name)
			assert.DeepEqual(t, c.Contents[name], e.Contents[name])
		}
		assert.NilError(t, node.Offer(c))
	}
	whole, err := w.store.Whole(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, whole, node.Whole())
}

func TestForgottenTokensDontDoubleAChange(t *testing.T) {
	inBubble(t, faults.New().WithForgetTokens(true).WithLostAnswers(2), func(t *testing.T, w *world) {
		r, err := w.submit(put("ana", "a.yaml", string(team("a", 1)), ""), time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, r.Accepted && r.Version == 1)
		w.check(t)
	})
}

func TestAnOutageIsReportedAsSuch(t *testing.T) {
	inBubble(t, faults.New().WithOutage(true), func(t *testing.T, w *world) {
		_, err := w.submit(put("ana", "a.yaml", string(team("a", 1)), ""), time.Second)
		assert.ErrorContains(t, err, "not accepted: store: reading the files: platform: out of service")
		w.platform.SetFaults(faults.New())
		w.check(t)
	})
}

func TestOldChangesGoFromTheTable(t *testing.T) {
	inBubble(t, faults.Faults{}, func(t *testing.T, w *world) {
		base := ""
		for n := 1; n <= 1003; n++ {
			content := team("a", n)
			r, err := w.submit(put(fmt.Sprint(n), "a.yaml", string(content), base), time.Minute)
			assert.NilError(t, err)
			assert.Assert(t, r.Accepted)
			base = shasum.Of(content)
		}
		lines, err := w.store.Audit(t.Context(), 999)
		assert.NilError(t, err)
		assert.Equal(t, len(lines), 5)
		_, ok, err := w.store.Change(t.Context(), 3)
		assert.NilError(t, err)
		assert.Assert(t, !ok)
		_, ok, err = w.store.Change(t.Context(), 4)
		assert.NilError(t, err)
		assert.Assert(t, ok)
	})
}
