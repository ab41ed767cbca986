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

// maxAddedMillis bounds the median of the latency that two nodes add on a busy
// machine. The goal for the 99th percentile on an idle one is 1.1 ms.
const maxAddedMillis = 3

func TestTwoNodesAddLittleLatency(t *testing.T) {
	f := start(t, layout.New("c1").
		WithService("stock", 1, "--work-millis", "0", "--slots", "200").
		WithService("other", 1))
	gate, entry := f.Instances[0], f.Instances[1]
	e := added.Experiment{
		Direct:  gate.TargetAddress,
		Through: []string{entry.Callers},
		Key:     apiKey,
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
	assert.Assert(t, p50 < maxAddedMillis, "the nodes add %v ms", p50)
}
