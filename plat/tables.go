package plat

import (
	"bytes"
	"context"
	"sort"
	"strings"

	"bergamotloom.example/record"
	"bergamotloom.example/write"
)

const (
	// historyMillis is how far back older reads can reach.
	historyMillis = 60_000
	// outcomesKept is for how many transactions the outcome is remembered.
	outcomesKept = 100_000
)

// state is a row as it stood from one moment on.
type state struct {
	sinceMillis int64
	value       []byte
	version     int64
	deleted     bool
}

// row keeps the states of one key, oldest first. Versions go on counting over
// a deletion, so that no version ever stands for two values.
type row struct {
	states []state
}

func (r *row) latest() state {
	return r.states[len(r.states)-1]
}

// at returns the state at a moment, and false if there was none yet.
func (r *row) at(millis int64) (state, bool) {
	for i := len(r.states) - 1; i >= 0; i-- {
		if r.states[i].sinceMillis <= millis {
			return r.states[i], true
		}
	}
	return state{}, false
}

// add appends a state and drops those that no read can reach any more.
func (r *row) add(s state) {
	r.states = append(r.states, s)
	horizon := s.sinceMillis - historyMillis
	for len(r.states) > 1 && r.states[1].sinceMillis < horizon {
		r.states = r.states[1:]
	}
}

// outcomes remembers the outcome of the latest transactions by token.
type outcomes struct {
	applied map[string]bool
	order   []string
}

func newOutcomes() *outcomes {
	return &outcomes{applied: make(map[string]bool)}
}

func (o *outcomes) add(token string, applied bool) {
	o.applied[token] = applied
	o.order = append(o.order, token)
	if len(o.order) > outcomesKept {
		delete(o.applied, o.order[0])
		o.order = o.order[1:]
	}
}

// tables is the table service in the same process.
type tables struct {
	platform *Platform
}

func (t tables) Get(ctx context.Context, key string) (record.Record, bool, error) {
	var found record.Record
	var ok bool
	err := t.platform.read(ctx, func() {
		found, ok = t.platform.show(key)
	})
	return found, ok, err
}

func (t tables) Scan(ctx context.Context, prefix string) ([]record.Record, error) {
	var found []record.Record
	err := t.platform.read(ctx, func() {
		found = t.platform.scan(prefix)
	})
	return found, err
}

func (t tables) Transact(ctx context.Context, token string, writes []write.Write) (bool, error) {
	var applied bool
	err := t.platform.write(ctx, func() {
		applied = t.platform.transact(token, writes)
	})
	if err != nil {
		return false, err
	}
	return applied, nil
}

// show returns a row as reads see it: now, or some time ago.
func (p *Platform) show(key string) (record.Record, bool) {
	r, ok := p.rows[key]
	if !ok {
		return record.Record{}, false
	}
	s, ok := r.at(p.clock.Now() - p.faults.OlderReadsMillis)
	if !ok || s.deleted {
		return record.Record{}, false
	}
	return record.Record{Key: key, Value: bytes.Clone(s.value), Version: s.version}, true
}

func (p *Platform) scan(prefix string) []record.Record {
	var keys []string
	for k := range p.rows {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	found := []record.Record{}
	for _, k := range keys {
		if r, ok := p.show(k); ok {
			found = append(found, r)
		}
	}
	return found
}

func (p *Platform) transact(token string, writes []write.Write) bool {
	if applied, seen := p.outcomes.applied[token]; seen && !p.faults.ForgetTokens {
		return applied
	}
	applied := p.holds(writes)
	if applied {
		for _, w := range writes {
			p.apply(w)
		}
	}
	p.outcomes.add(token, applied)
	return applied
}

// holds tells whether every write's condition holds on the present state.
func (p *Platform) holds(writes []write.Write) bool {
	for _, w := range writes {
		if w.IfVersion != write.AnyVersion && w.IfVersion != p.version(w.Key) {
			return false
		}
	}
	return true
}

// version returns the present version of a row, 0 if there is none.
func (p *Platform) version(key string) int64 {
	r, ok := p.rows[key]
	if !ok || r.latest().deleted {
		return 0
	}
	return r.latest().version
}

func (p *Platform) apply(w write.Write) {
	if w.ChecksOnly() {
		return
	}
	r, ok := p.rows[w.Key]
	if !ok {
		r = &row{}
		p.rows[w.Key] = r
	}
	next := state{sinceMillis: p.clock.Now(), version: 1, deleted: w.Delete}
	if len(r.states) > 0 {
		next.version = r.latest().version + 1
	}
	next.value = bytes.Clone(w.Value)
	r.add(next)
	p.counts.RowsWritten++
}
