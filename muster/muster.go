// Package muster decides when a node writes its row into the table of nodes, and when
// it reads which part of the table, to find its peers.
//
// A node needs to find only a few peers that are up: their status cards tell of all
// others. So a start takes one read of a few rows, next to the node's own one, and
// one write if there's no such row yet, however large the fleet is. The whole table is
// read by a node that hears too few peers afterwards, and by the few that watch the store:
// they find nodes that can't reach the store and whose rows no other node has read.
package muster

import (
	"math/rand/v2"

	"bergamotloom.example/step"
)

// NearRows is the number of rows that a starting node reads. Some of their nodes may
// have died, or start at the same time and be slower.
const NearRows = 24

const (
	// spreadMillis spreads the reads of the nodes of a fleet that starts for the first
	// time: those that read later find the rows of the others.
	spreadMillis = 400
	// enoughHeard is the number of peers that a node must hear to need no rows.
	enoughHeard = 3
	// settleMillis is the time after a read in which the peers that it found should
	// be heard.
	settleMillis = 1500
	// minSearchMillis and maxSearchMillis bound the time between two reads of a node
	// that has lost its peers, which doubles each time. Peers that were only cut off
	// are found again without the table, by their status cards.
	minSearchMillis = 10_000
	maxSearchMillis = 240_000
	// watcherReadMillis is how long after its start a node that watches the store reads
	// the whole table. Most nodes are heard by then.
	watcherReadMillis = 3000
	// RenewMillis is the min time between two writes of a node's row, the max is twice
	// that. A fleet of thousands then calls the store some ten times a second.
	RenewMillis = 300_000
)

// Muster is the state of one node. It isn't safe for concurrent use. All times are
// milliseconds of one clock.
type Muster struct {
	random     *rand.Rand
	firstStart bool
	hasRow     bool
	hasRead    bool
	// hasReadAll says that the last read was of the whole table.
	hasReadAll bool
	// hasReadRest says that the whole table was read since the row was last renewed.
	hasReadRest bool
	startMillis int64
	// found is the number of other nodes in the last read.
	found int
	// searching says that the node hears too few peers.
	searching bool
	// dueMillis is when the next read is due, renewMillis when the row is written
	// again.
	dueMillis    int64
	renewMillis  int64
	searchMillis int64
}

// New returns the state of a node that starts now. FirstStart says that the whole
// fleet starts for the first time, so that the table has no row of this node.
func New(firstStart bool, now int64, seed uint64) *Muster {
	m := &Muster{random: rand.New(rand.NewPCG(seed, seed+5)), firstStart: firstStart, startMillis: now, searching: true, searchMillis: settleMillis}
	if firstStart {
		m.dueMillis = now + m.random.Int64N(spreadMillis)
	}
	return m
}

// Next returns the step that is due. Known is the number of peers that the node knows,
// heard how many of them aren't silent. Watches says that the node watches the store.
func (m *Muster) Next(now int64, known, heard int, watches bool) step.Step {
	switch {
	case m.firstStart && !m.hasRow:
		return step.Write
	case !m.hasRead && m.firstStart && heard >= enoughHeard:
		// Nodes that read the table later have found this one.
		m.finishRead(now, heard, false)
		return step.Wait
	case !m.hasRead && now >= m.dueMillis:
		return step.ReadNear
	case !m.hasRead:
		return step.Wait
	case !m.hasRow || now >= m.renewMillis:
		return step.Write
	case watches && !m.hasReadRest && now >= m.startMillis+watcherReadMillis:
		return step.ReadAll
	}
	if !m.hearsTooFew(known, heard) {
		m.searching = false
		return step.Wait
	}
	if !m.searching {
		// Many nodes may lose their peers at the same moment.
		m.searching, m.searchMillis = true, minSearchMillis
		m.dueMillis = now + m.searchMillis + m.random.Int64N(m.searchMillis)
	}
	if now < m.dueMillis {
		return step.Wait
	}
	return step.ReadAll
}

// hearsTooFew reports whether peers should be looked for: the node hears fewer than
// half of the peers that it knows, or few although the table has more.
func (m *Muster) hearsTooFew(known, heard int) bool {
	return heard*2 < known || heard < min(m.found, enoughHeard) || heard == 0 && !m.hasReadAll
}

// RowWritten records that the node's row was written.
func (m *Muster) RowWritten(now int64) {
	m.hasRow, m.hasReadRest = true, false
	m.renewMillis = now + RenewMillis + m.random.Int64N(RenewMillis)
}

// RowFound records that the table has a row of the node that needn't be written now.
func (m *Muster) RowFound(now int64) {
	m.RowWritten(now)
}

// RowMissing records that the table has no row of the node.
func (m *Muster) RowMissing() {
	m.hasRow = false
}

// NodesRead records that rows of so many other nodes were read, the whole table if
// all is true.
func (m *Muster) NodesRead(now int64, others int, all bool) {
	m.finishRead(now, others, all)
}

func (m *Muster) finishRead(now int64, others int, all bool) {
	if m.hasRead {
		m.searchMillis = min(2*m.searchMillis, maxSearchMillis)
	}
	m.hasRead, m.hasReadAll, m.found = true, all, others
	m.hasReadRest = m.hasReadRest || all
	m.dueMillis = now + m.searchMillis + m.random.Int64N(m.searchMillis)
}
