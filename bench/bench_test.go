package bench_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bergamotloom.example/bench"
)

const seed = 1

func TestEqualSeedsGiveEqualOutcomes(t *testing.T) {
	t.Parallel()
	first, err := bench.Run("cold", "paddle", "loom-team", seed)
	assert.NilError(t, err)
	second, err := bench.Run("cold", "paddle", "loom-team", seed)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}

func TestUnknownNamesAreErrors(t *testing.T) {
	_, err := bench.Run("none such", "paddle", "none", seed)
	assert.ErrorContains(t, err, "unknown scenario")
	_, err = bench.Run("worst", "none such", "none", seed)
	assert.ErrorContains(t, err, "unknown deployment")
	_, err = bench.Run("worst", "paddle", "none such", seed)
	assert.ErrorContains(t, err, "unknown policy")
}

func TestTable(t *testing.T) {
	var b strings.Builder
	bench.WriteTable(&b, []bench.Outcome{
		{Scenario: "slow", Policy: "none", Goodput: 0.5, Sends: 1.25},
		{Scenario: "slow", Policy: "loom-rank", Goodput: 0.99, Recovered: true, RecoveryMillis: 300, Sends: 1},
	})
	golden.Assert(t, b.String(), "table.golden")
}
