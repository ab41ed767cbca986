package fleet_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/layout"
	"bergamotloom.example/runrec"
)

func TestFleetServesAndRecordsSurviveKills(t *testing.T) {
	f := start(t, layout.New("c1", "c2").WithService("stock", 1, "--key-mark", "loom_"))
	p := newPlan(t, 200, 1, f.CallerAddresses()...).
		WithRoute("Stock", http.MethodGet, "/stock/1", 1).
		WithRoute("Book", http.MethodPost, "/book/1", 1)
	all := sendPlan(t, p).All()
	assert.Equal(t, all.Served, all.Requests, "%v", all.Reasons)

	f.Instances[0].Target.Kill()
	assert.NilError(t, f.StartTarget(t.Context(), f.Instances[0]))
	runs, err := f.Runs()
	assert.NilError(t, err)
	plannedRuns := int64(0)
	for _, r := range runs {
		assert.Assert(t, !r.SawKey, "%+v", r)
		assert.Equal(t, r.Outcome, runrec.Served)
		if r.Path != "/stock/ready" {
			assert.Equal(t, r.Team, "Lakes")
			plannedRuns++
		}
	}
	assert.Equal(t, plannedRuns, all.Served)
}
