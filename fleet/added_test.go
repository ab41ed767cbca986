package fleet_test

import (
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/added"
	"bergamotloom.example/clock"
	"bergamotloom.example/layout"
)

// addedMillis bounds the median that two nodes add on a busy machine. The
// target for 99 in 100 on a quiet one is 1.1 ms.
const addedMillis = 3

func TestTwoNodesAddLittleTime(t *testing.T) {
	f := start(t, layout.New("c1").
		WithService("stock", 1, "--work-millis", "0", "--slots", "200").
		WithService("other", 1))
	gate, entry := f.Instances[0], f.Instances[1]
	e := added.Experiment{
		Direct:  gate.TargetAddress,
		Through: []string{entry.Callers},
		Key:     key,
		Method:  http.MethodGet,
		Path:    "/stock/1",
		Rates:   []float64{200},
		Rounds:  2,
		Seconds: 0.7,
		Nodes:   []int{gate.Node.ID(), entry.Node.ID()},
	}
	costs, err := e.Run(t.Context(), clock.New())
	assert.NilError(t, err)
	table := &bytes.Buffer{}
	assert.NilError(t, added.WriteTable(table, costs))
	t.Logf("\n%s", table)
	p50, _, _ := costs[0].AddedMillis()
	assert.Assert(t, p50 < addedMillis, "%v ms", p50)
}
