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
	// historyMillis is the maximum age of the states that stale reads return.
	// Reads of older states may miss rows.
	historyMillis = 60_000
	// maxOutcomes is how many transactions have their outcome remembered.
	maxOutcomes = 100_000
)

// state is the content of a row from a point in time on.
type state struct {
	sinceMillis int64
	value       []byte
	version     int64
	deleted     bool
}

// row keeps the states of one key, oldest first. Versions keep increasing
// across a deletion, so that a version never identifies two values.
type row struct {
	states []state
}

func (r *row) latest() state {
	return r.states[len(r.states)-1]
}

// stateAt returns the state at the given time, and false if there was none yet.
func (r *row) stateAt(millis int64) (state, bool) {
	for i := len(r.states) - 1; i >= 0; i-- {
		if r.states[i].sinceMillis <= millis {
			return r.states[i], true
		}
	}
	return state{}, false
}

// add appends a state and drops those that are too old for any read.
func (r *row) add(s state) {
	r.states = append(r.states, s)
	horizon := s.sinceMillis - historyMillis
	for len(r.states) > 1 && r.states[1].sinceMillis < horizon {
		r.states = r.states[1:]
	}
}

// outcomes remembers the outcomes of the latest transactions by token.
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
	if len(o.order) > maxOutcomes {
		delete(o.applied, o.order[0])
		o.order = o.order[1:]
	}
}

// tables gives access to the table service within the process.
type tables struct {
	platform *Platform
}

func (t tables) Get(ctx context.Context, key string) (record.Record, bool, error) {
	var found record.Record
	var ok bool
	err := t.platform.read(ctx, func() {
		found, ok = t.platform.readRow(key)
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

// readRow returns a row as reads see it: the current state, or an older one if
// the fault settings say so.
func (p *Platform) readRow(key string) (record.Record, bool) {
	r, ok := p.rows[key]
	if !ok {
		return record.Record{}, false
	}
	s, ok := r.stateAt(p.clock.Now() - p.faults.OlderReadsMillis)
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
		if r, ok := p.readRow(k); ok {
			found = append(found, r)
		}
	}
	return found
}

func (p *Platform) transact(token string, writes []write.Write) bool {
	if applied, repeated := p.outcomes.applied[token]; repeated && !p.faults.ForgetTokens {
		return applied
	}
	applied := p.conditionsHold(writes)
	if applied {
		for _, w := range writes {
			p.apply(w)
		}
	}
	p.outcomes.add(token, applied)
	return applied
}

// conditionsHold reports whether the conditions of all writes hold for the
// current versions.
func (p *Platform) conditionsHold(writes []write.Write) bool {
	for _, w := range writes {
		if w.IfVersion != write.AnyVersion && w.IfVersion != p.version(w.Key) {
			return false
		}
	}
	return true
}

// version returns the current version of a row, 0 if there is none.
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
