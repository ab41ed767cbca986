// Package meter counts the calls that a node makes to the store, by table, kind of
// call and reason.
package meter

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"bergamotloom.example/cursor"
	"bergamotloom.example/feed"
	"bergamotloom.example/record"
)

// Reasons of calls, for Because.
const (
	// Start is for what a node reads and writes when it starts.
	Start = "Start"
	// Watch is for long polls, and for the first read of a table that is watched.
	Watch = "Watch"
	// Check is for the rare looks of a node that leaves the long polls to others.
	Check = "Check"
	// Old is for a look of a node that wasn't told for too long that nothing has changed.
	Old = "Old"
	// Gap is for reading a table again whose history was dropped.
	Gap = "Gap"
	// Retry is for repeating a call that failed.
	Retry = "Retry"
	// Renewal is for writing a row again before it counts as stale, Removal for
	// removing rows that are.
	Renewal = "Renewal"
	Removal = "Removal"
	// Silence is for looking for other peers as most are silent.
	Silence = "Silence"
	// Leave is for recording a target that leaves, Crash for recording a crash.
	Leave = "Leave"
	Crash = "Crash"
	// Restore is for writing rows anew after the store was restored from a copy.
	Restore = "Restore"
	// unknown is for calls without a reason.
	unknown = "Unknown"
)

const (
	// CallsPrefix begins the names of the counters of all calls. Table, kind of call and
	// reason follow.
	CallsPrefix = "store.calls."
	// FailedPrefix begins the names of the counters of calls that failed.
	FailedPrefix = "store.failed."
)

type reasonKey struct{}

// Because returns a context whose calls to the store are counted under the reason.
func Because(ctx context.Context, reason string) context.Context {
	return context.WithValue(ctx, reasonKey{}, reason)
}

// Meter is a store that counts the calls to another one. It's safe for concurrent
// use.
type Meter struct {
	store    feed.Feed
	registry metrics.Registry
	lost     atomic.Bool
	// hasFailed is true from the first failed call on.
	hasFailed atomic.Bool
}

// New returns a meter of the store, with its counters in the registry.
func New(store feed.Feed, registry metrics.Registry) *Meter {
	return &Meter{store: store, registry: registry}
}

func (m *Meter) count(ctx context.Context, table, call string, err error) {
	reason, ok := ctx.Value(reasonKey{}).(string)
	if !ok {
		reason = unknown
	}
	name := table + "." + call + "." + reason
	metrics.GetOrRegisterCounter(CallsPrefix+name, m.registry).Inc(1)
	switch {
	case err == nil, errors.Is(err, feed.ErrHistoryDropped), errors.Is(err, feed.ErrChanged), errors.Is(err, feed.ErrRestored):
		m.lost.Store(false)
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		m.lost.Store(true)
		m.hasFailed.Store(true)
		metrics.GetOrRegisterCounter(FailedPrefix+name, m.registry).Inc(1)
	}
}

// Lost reports whether the store couldn't be reached when it was last called.
func (m *Meter) Lost() bool {
	return m.lost.Load()
}

// HasFailed reports whether any call since the start has failed.
func (m *Meter) HasFailed() bool {
	return m.hasFailed.Load()
}

// Page is that of the store.
func (m *Meter) Page(ctx context.Context, table, from string, limit int) (rows []record.Record, at cursor.Cursor, more bool, err error) {
	rows, at, more, err = m.store.Page(ctx, table, from, limit)
	m.count(ctx, table, "Rows", err)
	return rows, at, more, err
}

// Changes is that of the store.
func (m *Meter) Changes(ctx context.Context, table string, after cursor.Cursor, timeout time.Duration) ([]record.Record, cursor.Cursor, error) {
	rows, at, err := m.store.Changes(ctx, table, after, timeout)
	m.count(ctx, table, "Changes", err)
	return rows, at, err
}

// Put is that of the store. It's one call, counted under the names of all tables.
func (m *Meter) Put(ctx context.Context, rows map[string]record.Record) (era int64, err error) {
	era, err = m.store.Put(ctx, rows)
	m.count(ctx, strings.Join(slices.Sorted(maps.Keys(rows)), "+"), "Put", err)
	return era, err
}

// Remove is that of the store.
func (m *Meter) Remove(ctx context.Context, table, key string, at cursor.Cursor) error {
	err := m.store.Remove(ctx, table, key, at)
	m.count(ctx, table, "Remove", err)
	return err
}

// Era is that of the store.
func (m *Meter) Era() int64 {
	return m.store.Era()
}
