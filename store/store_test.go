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

// timeoutTable is a table whose calls end after callTimeout, as those of the
// client do.
type timeoutTable struct{ table table.Table }

func (t timeoutTable) Get(ctx context.Context, key string) (record.Record, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.table.Get(ctx, key)
}

func (t timeoutTable) Scan(ctx context.Context, prefix string) ([]record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.table.Scan(ctx, prefix)
}

func (t timeoutTable) Transact(ctx context.Context, token string, writes []write.Write) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.table.Transact(ctx, token, writes)
}

// report is the result of one edit as returned to the operator.
type report struct {
	edit    edit.Edit
	result  result.Result
	unknown bool
	// minVersion is the highest version reported to any operator before the
	// edit was submitted.
	minVersion int64
}

// simulation is a platform with operators who change the configuration.
type simulation struct {
	platform        *plat.Platform
	store           *store.Store
	mutex           sync.Mutex
	reports         []report
	highestReported int64
}

func newSimulation(f faults.Faults) *simulation {
	p := plat.New(clock.New(), f)
	return &simulation{platform: p, store: store.New(timeoutTable{p.Table()}, clock.New())}
}

func (s *simulation) submit(e edit.Edit, timeout time.Duration) (result.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.mutex.Lock()
	minVersion := s.highestReported
	s.mutex.Unlock()
	outcome, err := s.store.Submit(ctx, e)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.highestReported = max(s.highestReported, outcome.Version)
	s.reports = append(s.reports, report{edit: e, result: outcome, unknown: err != nil, minVersion: minVersion})
	return outcome, err
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

// withVirtualTime runs the test with virtual time.
func withVirtualTime(t *testing.T, f faults.Faults, body func(*testing.T, *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { body(t, newSimulation(f)) })
}

func TestTwoOperators(t *testing.T) {
	withVirtualTime(t, faults.New(), func(t *testing.T, s *simulation) {
		a, b := string(team("a", 1)), string(team("b", 1))
		for i, e := range []edit.Edit{put("ana", "a.yaml", a, ""), put("bea", "b.yaml", b, "")} {
			r, err := s.submit(e, time.Minute)
			assert.NilError(t, err)
			assert.Assert(t, r.Accepted && r.Version == int64(i+1))
		}
		second := put("bea2", "a.yaml", string(team("a", 2)), "")
		r, err := s.submit(second, time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, !r.Accepted)
		assert.Assert(t, strings.HasPrefix(r.RefusalReason(), "a.yaml was changed by ana at 2000-01-01T"), r.RefusalReason())
		r, err = s.submit(put("cid", "c.yaml", a, ""), time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, r.RefusalReason(), `c.yaml:1:10: team "a" is already defined at a.yaml:1:10`)
		r, err = s.submit(put("bea3", "a.yaml", a, ""), time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, !r.Accepted && !r.Refused() && r.Version == 2)
		s.check(t)
	})
}

// TestConcurrentEditsUnderFaults lets operators submit edits concurrently while
// faults are injected into the platform, and then compares the reported results
// with the table.
func TestConcurrentEditsUnderFaults(t *testing.T) {
	accepted, refused, unknown := 0, 0, 0
	for seed := range uint64(40) {
		withVirtualTime(t, faults.New(), func(t *testing.T, s *simulation) {
			s.run(seed)
			s.check(t)
			for _, r := range s.reports {
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

func (s *simulation) run(seed uint64) {
	var operators sync.WaitGroup
	for o := range uint64(4) {
		operators.Go(func() { s.runOperator(rand.New(rand.NewPCG(seed, o))) })
	}
	stop := make(chan struct{})
	var injector sync.WaitGroup
	injector.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, 99)), stop) })
	operators.Wait()
	close(stop)
	injector.Wait()
	s.platform.SetFaults(faults.New())
	time.Sleep(time.Minute)
}

// runOperator submits edits of files that it has read, some of them stale.
func (s *simulation) runOperator(r *rand.Rand) {
	for range 8 {
		name := fmt.Sprintf("f%d.yaml", r.IntN(4))
		base := ""
		if seen, err := s.store.Read(context.Background()); err == nil {
			base = seen.Files[name].Digest
		}
		time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		e := put(fmt.Sprintf("t%x", r.Uint64()), name, string(team(name[:2], r.IntN(1000))), base)
		if r.IntN(5) == 0 {
			e = edit.Edit{Token: e.Token, Who: e.Who, Removed: []string{name}, BaseDigests: e.BaseDigests}
		}
		_, _ = s.submit(e, time.Duration(r.IntN(5000))*time.Millisecond)
	}
}

func (s *simulation) injectFaults(r *rand.Rand, stop chan struct{}) {
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
		s.platform.SetFaults(f)
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(1000)) * time.Millisecond):
		}
	}
}

// check compares the reports, the audit trail, the changes and the files.
func (s *simulation) check(t *testing.T) {
	t.Helper()
	ctx := t.Context()
	lines, err := s.store.Audit(ctx, 0)
	assert.NilError(t, err)
	byToken := make(map[string]audit.Line)
	versions := int64(0)
	for _, l := range lines {
		_, duplicate := byToken[l.Token]
		assert.Assert(t, !duplicate, l)
		byToken[l.Token] = l
		if l.Refused == "" {
			versions++
			assert.Equal(t, l.After, versions)
		}
	}
	reported := make(map[string]report)
	for _, r := range s.reports {
		reported[r.edit.Token] = r
		l, ok := byToken[r.edit.Token]
		assert.Assert(t, r.unknown || r.result.Version >= r.minVersion, "result has version %d, but version %d was reported before the edit", r.result.Version, r.minVersion)
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
	s.checkChanges(t, lines, reported)
}

// checkChanges replays the accepted changes at a node and compares it with the
// files.
func (s *simulation) checkChanges(t *testing.T, lines []audit.Line, reported map[string]report) {
	t.Helper()
	node := inforc.New()
	for _, l := range lines {
		if l.Refused != "" {
			continue
		}
		c, ok, err := s.store.Change(t.Context(), l.After)
		assert.NilError(t, err)
		assert.Assert(t, ok)
		e, before := reported[l.Token].edit, node.Whole().Contents
		for _, name := range append(slices.Collect(maps.Keys(c.Contents)), c.Removed...) {
			old, existed := before[name]
			assert.Assert(t, existed == (e.BaseDigests[name] != ""), "%s: its operator was wrong about whether %s existed", l, name)
			assert.Assert(t, !existed || shasum.Of(old) == e.BaseDigests[name], "%s overwrote a version of %s that its operator hadn't read", l, name)
			assert.DeepEqual(t, c.Contents[name], e.Contents[name])
		}
		assert.NilError(t, node.Offer(c))
	}
	whole, err := s.store.Whole(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, whole, node.Whole())
}

func TestForgottenTokensDontDuplicateAChange(t *testing.T) {
	withVirtualTime(t, faults.New().WithForgetTokens(true).WithLostAnswers(2), func(t *testing.T, s *simulation) {
		r, err := s.submit(put("ana", "a.yaml", string(team("a", 1)), ""), time.Minute)
		assert.NilError(t, err)
		assert.Assert(t, r.Accepted && r.Version == 1)
		s.check(t)
	})
}

func TestOutageIsReported(t *testing.T) {
	withVirtualTime(t, faults.New().WithOutage(true), func(t *testing.T, s *simulation) {
		_, err := s.submit(put("ana", "a.yaml", string(team("a", 1)), ""), time.Second)
		assert.ErrorContains(t, err, "not accepted: store: reading the files: platform: out of service")
		s.platform.SetFaults(faults.New())
		s.check(t)
	})
}

func TestOldChangesAreRemovedFromTheTable(t *testing.T) {
	withVirtualTime(t, faults.Faults{}, func(t *testing.T, s *simulation) {
		base := ""
		for n := 1; n <= 1003; n++ {
			content := team("a", n)
			r, err := s.submit(put(fmt.Sprint(n), "a.yaml", string(content), base), time.Minute)
			assert.NilError(t, err)
			assert.Assert(t, r.Accepted)
			base = shasum.Of(content)
		}
		lines, err := s.store.Audit(t.Context(), 999)
		assert.NilError(t, err)
		assert.Equal(t, len(lines), 5)
		_, ok, err := s.store.Change(t.Context(), 3)
		assert.NilError(t, err)
		assert.Assert(t, !ok)
		_, ok, err = s.store.Change(t.Context(), 4)
		assert.NilError(t, err)
		assert.Assert(t, ok)
	})
}
