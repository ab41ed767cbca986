package settle_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bergamotloom.example/clock"
	"bergamotloom.example/faults"
	"bergamotloom.example/plat"
	"bergamotloom.example/settle"
	"bergamotloom.example/write"
)

func TestLostResponseAppliesTransactionOnce(t *testing.T) {
	p := plat.New(clock.New(), faults.New().WithLostAnswers(1).WithOlderReads(60))
	applied, err := settle.Transact(t.Context(), p.Table(), "t", []write.Write{write.Put("a", []byte("me"), 0)})
	assert.NilError(t, err)
	assert.Assert(t, applied)
	assert.Equal(t, p.Counts().RowsWritten, int64(1))
}

func TestRefusedTransactionStaysRefused(t *testing.T) {
	p := plat.New(clock.New(), faults.New())
	put := func(token, value string) (bool, error) {
		return settle.Transact(t.Context(), p.Table(), token, []write.Write{write.Put("a", []byte(value), 0)})
	}
	_, err := put("t1", "me")
	assert.NilError(t, err)
	p.SetFaults(faults.New().WithLostAnswers(1))
	applied, err := put("t2", "you")
	assert.NilError(t, err)
	assert.Assert(t, !applied)
}

func TestOutageLeavesOutcomeUnknown(t *testing.T) {
	p := plat.New(clock.New(), faults.New().WithOutage(true))
	ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
	defer cancel()
	_, err := settle.Transact(ctx, p.Table(), "t", []write.Write{write.Put("a", []byte("me"), 0)})
	assert.ErrorContains(t, err, "the outcome isn't known")
}
