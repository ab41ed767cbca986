package verbs_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bergamotloom.example/verbs"
)

func TestQuotaComparisonIsDeterministic(t *testing.T) {
	var out, logs bytes.Buffer
	code := verbs.Main(t.Context(), []string{"compare", "quota", "--seed=1", "--seconds=6"}, &out, &logs)
	assert.Equal(t, code, 0, logs.String())
	golden.Assert(t, out.String(), "compare-quota.golden")
}
