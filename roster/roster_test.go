package roster_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/faults"
	"bergamotloom.example/ident"
	"bergamotloom.example/member"
	"bergamotloom.example/plat"
	"bergamotloom.example/roster"
	"bergamotloom.example/write"
)

const (
	hourMillis = 60 * 60 * 1000
	largeFleet = 9400
)

type fleet struct {
	platform *plat.Platform
	clock    clock.Clock
	advance  func(float64)
	rosters  []*roster.Roster
}

func memberRecord(i int) member.Member {
	return member.Member{ID: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), Incarnation: int64(i)}
}

func newFleet() *fleet {
	f := &fleet{}
	f.clock, f.advance = clock.NewManual(1)
	f.platform = plat.New(f.clock, faults.Faults{})
	return f
}

// register registers one more node and returns the members that it found.
func (f *fleet) register(t *testing.T) []member.Member {
	t.Helper()
	i := len(f.rosters)
	r := roster.New(f.platform.Table(), f.clock, uint64(i), ident.New)
	f.rosters = append(f.rosters, r)
	found, err := r.Register(t.Context(), memberRecord(i))
	assert.NilError(t, err)
	return found
}

// writeRows writes the rows of a large fleet as its nodes would.
func (f *fleet) writeRows(t *testing.T) {
	t.Helper()
	var rows []write.Write
	for i := range largeFleet {
		id := memberRecord(i).ID
		value, err := cbor.Marshal(memberRecord(i))
		assert.NilError(t, err)
		key := fmt.Sprintf("members/%02x/%s", xxhash.Sum64String(id)%256, id)
		rows = append(rows, write.Put(key, value, write.AnyVersion))
	}
	done, err := f.platform.Table().Transact(t.Context(), "fill", rows)
	assert.NilError(t, err)
	assert.Assert(t, done)
}

func (f *fleet) countRows(t *testing.T) int {
	t.Helper()
	rows, err := f.platform.Table().Scan(t.Context(), "members/")
	assert.NilError(t, err)
	return len(rows)
}

func TestSmallFleetIsReadCompletely(t *testing.T) {
	f := newFleet()
	for i := range 24 {
		assert.Equal(t, len(f.register(t)), i)
	}
}

func TestLargeFleetIsJoinedThroughFewRows(t *testing.T) {
	f := newFleet()
	f.writeRows(t)
	for range 10 {
		found := len(f.register(t))
		assert.Assert(t, found >= 4 && found < 100, "%d rows", found)
	}
	assert.Equal(t, f.countRows(t), largeFleet)
}

func TestStaleRowsAreRemovedByNodesOfTheirShard(t *testing.T) {
	f := newFleet()
	f.writeRows(t)
	for range 300 {
		f.register(t)
	}
	isAlive := func(id string) bool { return id != memberRecord(largeFleet-1).ID }
	for range 2 {
		f.advance(1.5 * hourMillis)
		for i, r := range f.rosters {
			assert.Assert(t, r.IsDue())
			assert.NilError(t, r.Renew(t.Context(), memberRecord(i), isAlive))
		}
	}
	assert.Equal(t, f.countRows(t), largeFleet-1)
	assert.NilError(t, f.rosters[8].Deregister(t.Context(), memberRecord(8).ID))
	assert.Equal(t, f.countRows(t), largeFleet-2)
}

func TestOutageOnlyDelaysRenewal(t *testing.T) {
	f := newFleet()
	f.register(t)
	f.advance(1.5 * hourMillis)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.platform.SetFaults(faults.Faults{Outage: true})
	r := f.rosters[0]
	assert.Assert(t, r.Renew(ctx, memberRecord(0), func(string) bool { return true }) != nil)
	assert.Assert(t, !r.IsDue())
	f.advance(3 * 60 * 1000)
	assert.Assert(t, r.IsDue())
	f.platform.SetFaults(faults.Faults{})
	assert.NilError(t, r.Renew(t.Context(), memberRecord(0), func(string) bool { return true }))
	assert.Assert(t, !r.IsDue())
}
