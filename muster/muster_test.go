package muster_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/muster"
	"bergamotloom.example/step"
)

// start follows a node until it has nothing to do, and returns its steps. Read tells
// how many other nodes a read finds, and heard how many peers are heard by then.
func start(m *muster.Muster, now, untilMillis int64, ownRow bool, read, heard int) (steps []step.Step) {
	known := 0
	for ; now < untilMillis; now += 100 {
		switch next := m.Next(now, known, min(heard, known), false); next {
		case step.Write:
			m.RowWritten(now)
			steps = append(steps, next)
		case step.ReadNear, step.ReadAll:
			if ownRow {
				m.RowFound(now)
			}
			m.NodesRead(now, read, next == step.ReadAll)
			known = max(known, read, heard)
			steps = append(steps, next)
		}
	}
	return steps
}

func TestStartTakesOneReadAndAWriteIfThereIsNoRow(t *testing.T) {
	for seed := range uint64(20) {
		first := start(muster.New(true, 0, seed), 0, 60_000, false, 20, 190)
		assert.DeepEqual(t, first, []step.Step{step.Write, step.ReadNear})
		joining := start(muster.New(false, 0, seed), 0, 60_000, false, 20, 190)
		assert.DeepEqual(t, joining, []step.Step{step.ReadNear, step.Write})
		restarted := start(muster.New(false, 0, seed), 0, 60_000, true, 20, 190)
		assert.DeepEqual(t, restarted, []step.Step{step.ReadNear})
	}
}

// All neighbours in the table have died.
func TestNodeThatHearsNobodyReadsTheWholeTable(t *testing.T) {
	steps := start(muster.New(false, 0, 1), 0, 60_000, true, 20, 0)
	assert.DeepEqual(t, steps[:2], []step.Step{step.ReadNear, step.ReadAll})
	// It doesn't give up, but asks less and less often.
	assert.Assert(t, len(steps) >= 3 && len(steps) <= 6, "%v", steps)
}

func TestOnlyNodeOfItsFleetStopsReading(t *testing.T) {
	steps := start(muster.New(true, 0, 1), 0, 250_000, false, 0, 0)
	assert.DeepEqual(t, steps, []step.Step{step.Write, step.ReadNear, step.ReadAll})
}

// Cards tell of the others, so that not all nodes of a new fleet read the table.
func TestNodeThatHasHeardOthersNeedsNoRead(t *testing.T) {
	m := muster.New(true, 0, 1)
	assert.Equal(t, m.Next(0, 0, 0, false), step.Write)
	m.RowWritten(0)
	for now := int64(0); now < 60_000; now += 100 {
		assert.Equal(t, m.Next(now, 5, 5, false), step.Wait)
	}
}

func TestNodeThatLosesItsPeersReadsTheTableAfterAWhile(t *testing.T) {
	m := muster.New(false, 0, 1)
	assert.Equal(t, m.Next(0, 0, 0, false), step.ReadNear)
	m.RowFound(0)
	m.NodesRead(0, 20, false)
	assert.Equal(t, m.Next(5000, 190, 190, false), step.Wait)
	var reads []int64
	for now := int64(20_000); now < 200_000; now += 100 {
		if m.Next(now, 190, 60, false) == step.ReadAll {
			reads = append(reads, now)
			m.NodesRead(now, 190, true)
		}
	}
	assert.Assert(t, len(reads) > 0 && reads[0] >= 30_000 && reads[0] <= 40_000, "%v", reads)
	assert.Assert(t, len(reads) <= 5, "%v", reads)
}

func TestRowIsRenewed(t *testing.T) {
	m := muster.New(true, 0, 1)
	var writes []int64
	for now := int64(0); now < 10*muster.RenewMillis; now += 1000 {
		if m.Next(now, 5, 5, false) == step.Write {
			writes = append(writes, now)
			m.RowWritten(now)
		}
	}
	for i := range len(writes) - 1 {
		interval := writes[i+1] - writes[i]
		assert.Assert(t, interval >= muster.RenewMillis && interval <= 2*muster.RenewMillis+1000, "%d", interval)
	}
	assert.Assert(t, len(writes) >= 5)
}

// Nodes that can't reach the store find nobody by themselves, so those that watch it read
// all rows once, and again when they renew their rows.
func TestWatchersReadTheWholeTable(t *testing.T) {
	m := muster.New(false, 0, 1)
	m.RowFound(0)
	m.NodesRead(0, 24, false)
	assert.Equal(t, m.Next(2000, 190, 190, true), step.Wait)
	assert.Equal(t, m.Next(4000, 190, 190, false), step.Wait)
	assert.Equal(t, m.Next(4000, 190, 190, true), step.ReadAll)
	m.NodesRead(4000, 199, true)
	assert.Equal(t, m.Next(4100, 190, 190, true), step.Wait)
	m.RowWritten(400_000)
	assert.Equal(t, m.Next(400_100, 190, 190, true), step.ReadAll)
}
