// Package evac keeps the replicated set of the data centres that are under evacuation.
//
// It answers the evacuation of a whole data centre under full load, begun or withdrawn at
// any moment, also while the store is unstable: within seconds all entries must stop to
// send requests there, and all gates there must refuse them. No node coordinates that.
// Each entry of the set has the position in the store's history as of which it's known, and
// the later position wins, so that all nodes agree in whatever order they learn.
package evac

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"bergamotloom.example/card"
	"bergamotloom.example/clock"
	"bergamotloom.example/cursor"
	"bergamotloom.example/evstat"
	"bergamotloom.example/record"
)

const (
	// maxCentres bounds the set if the settings don't list the data centres.
	maxCentres = 64
	// ignoredLogMillis is the min time between two log lines of ignored entries.
	ignoredLogMillis = 1000
)

// Evac is the set as one node knows it. It's safe for concurrent use.
type Evac struct {
	clock     clock.Clock
	keyPrefix string
	// centres lists the data centres; any is accepted if it's empty.
	centres []string
	// required says that the deployment bounds the time of an evacuation.
	required bool
	log      *slog.Logger
	onChange func()

	mutex    sync.Mutex
	statuses map[string]evstat.Status
	// asOf is the position up to which the set is complete. It stays 0 if it isn't required,
	// as cards of earlier builds may confirm positions beyond an evacuation that this node
	// hasn't learned.
	asOf    cursor.Cursor
	changes int64
	ignored int64
	// ignoredLoggedAt is when an ignored entry was last logged; 0 before that.
	ignoredLoggedAt int64
	// isKnown is true once the node has learned the whole set.
	isKnown atomic.Bool
}

// New returns the set of a node that knows nothing yet. Rows of evacuations have keys of
// this prefix with the name of the data centre. Centres lists the data centres, if they're
// known. Required says that the deployment bounds the time of an evacuation: cards then tell that
// they carry the set, and those that don't confirm nothing. OnChange is called after each
// change of the evacuated data centres, perhaps by several goroutines at once.
func New(c clock.Clock, keyPrefix string, centres []string, required bool, log *slog.Logger, onChange func()) *Evac {
	return &Evac{clock: c, keyPrefix: keyPrefix, centres: centres, required: required, log: log, onChange: onChange, statuses: make(map[string]evstat.Status)}
}

// OnRows takes in rows of the store's table as of a position. All says that they're all
// its rows, so that evacuations that aren't there have ended, and not changes, of which a
// removed row has no value.
func (e *Evac) OnRows(rows []record.Record, all bool, at cursor.Cursor) {
	statuses := make(map[string]evstat.Status)
	versions := make(map[string]int64)
	for _, r := range rows {
		centre, ok := strings.CutPrefix(r.Key, e.keyPrefix)
		// Changes may hold several of one row.
		if !ok || r.Version < versions[centre] {
			continue
		}
		versions[centre] = r.Version
		statuses[centre] = evstat.New(centre, all || r.Value != nil, at)
	}
	for _, s := range statuses {
		e.merge(s, "the store")
	}
	if all {
		e.endOthers(statuses, at, "the store")
	}
	// Changes tell of the whole set too, as they follow a position up to which it's known.
	e.complete(at)
}

// Learn takes in the set from a card, and reports whether the node's set is now as late as
// the sender's one. That isn't known of a card of an earlier build, which doesn't tell;
// where evacuations have no bound it's taken for granted.
func (e *Evac) Learn(c card.Card) bool {
	isWhole := c.EvacuationsKnown && c.Relays == 0
	at := cursor.Cursor{Era: c.StoreEra, Version: c.StoreVersion}
	listed := make(map[string]evstat.Status, len(c.Evacuations))
	for i, s := range c.Evacuations {
		if i >= maxCentres || !s.IsPossible() {
			continue
		}
		listed[s.Centre] = s
		if isWhole && isLater(at, s.Cursor()) {
			// The sender may have missed changes that cancel each other out, one of which
			// this node knows.
			s = evstat.New(s.Centre, s.Evacuated, at)
		}
		e.merge(s, c.Peers)
	}
	if isWhole {
		if at.Version > 0 {
			e.endOthers(listed, at, c.Peers)
		}
		e.complete(at)
	}
	return c.EvacuationsKnown || !e.required
}

// endOthers ends the evacuations that were known before a position and that aren't among
// all those that are listed as of it.
func (e *Evac) endOthers(listed map[string]evstat.Status, at cursor.Cursor, from string) {
	for _, s := range e.all() {
		if _, ok := listed[s.Centre]; !ok && s.Evacuated {
			e.merge(evstat.New(s.Centre, false, at), from)
		}
	}
}

// complete records that the set is complete up to a position, or up to an unknown one.
func (e *Evac) complete(at cursor.Cursor) {
	e.mutex.Lock()
	if e.required && at.Version > 0 && isLater(at, e.asOf) {
		e.asOf = at
	}
	e.mutex.Unlock()
	// By now onChange was called for all of it.
	e.isKnown.Store(true)
}

func isLater(a, b cursor.Cursor) bool {
	return a.Era > b.Era || a.Era == b.Era && a.Version > b.Version
}

// Describe adds the set to the node's card.
func (e *Evac) Describe(c card.Card) card.Card {
	// The set may have grown since it was known, but not shrunk.
	c.EvacuationsKnown = e.required && e.isKnown.Load()
	c.Evacuations = e.all()
	return c
}

// merge takes in one status if it's later than what's known.
func (e *Evac) merge(s evstat.Status, from string) {
	e.mutex.Lock()
	before, ok := e.statuses[s.Centre]
	// What was known before asOf is in the set already, or was superseded.
	isNew := isLater(s.Cursor(), e.asOf) && (!ok || s.Supersedes(before))
	if isNew && !e.accepts(s, ok) {
		e.ignore(s, from)
		isNew = false
	}
	if isNew {
		e.statuses[s.Centre] = s
	}
	changed := isNew && s.Evacuated != before.Evacuated
	if changed {
		e.changes++
	}
	e.mutex.Unlock()
	if !changed {
		return
	}
	e.log.Info("evac: evacuation of a data centre", "Centre", s.Centre, "Evacuated", s.Evacuated, "From", from,
		"Era", s.Era, "Version", s.Version, "EraBefore", before.Era, "VersionBefore", before.Version)
	e.onChange()
}

// accepts reports whether the status is of a data centre that exists, as far as the
// settings tell. The mutex must be held.
func (e *Evac) accepts(s evstat.Status, isInSet bool) bool {
	if len(e.centres) > 0 {
		return slices.Contains(e.centres, s.Centre)
	}
	return s.IsPossible() && (isInSet || len(e.statuses) < maxCentres)
}

// ignore counts a status that isn't taken in, and logs it. The mutex must be held.
func (e *Evac) ignore(s evstat.Status, from string) {
	e.ignored++
	now := e.clock.Now()
	if e.ignoredLoggedAt != 0 && now-e.ignoredLoggedAt < ignoredLogMillis {
		return
	}
	e.ignoredLoggedAt = now
	e.log.Warn("evac: ignored the evacuation of an unknown data centre", "Centre", s.Centre[:min(len(s.Centre), evstat.MaxNameBytes)], "Evacuated", s.Evacuated, "From", from)
}

// all returns the set in the order of the names, with the evacuations that have ended.
func (e *Evac) all() []evstat.Status {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var all []evstat.Status
	for _, s := range e.statuses {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b evstat.Status) int { return strings.Compare(a.Centre, b.Centre) })
	return all
}

// Evacuated reports whether a data centre is under evacuation.
func (e *Evac) Evacuated(centre string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.statuses[centre].Evacuated
}

// Centres returns the data centres that are under evacuation, in the order of their names.
func (e *Evac) Centres() []string {
	var centres []string
	for _, s := range e.all() {
		if s.Evacuated {
			centres = append(centres, s.Centre)
		}
	}
	return centres
}

// Known reports whether the node has learned the whole set, from the store or a peer.
func (e *Evac) Known() bool {
	return e.isKnown.Load()
}

// Counts returns how often a data centre's evacuation has begun or ended since the start,
// and how many entries were ignored.
func (e *Evac) Counts() (changes, ignored int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.changes, e.ignored
}
