package fleet_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bergamotloom.example/figure"
	"bergamotloom.example/fleet"
	"bergamotloom.example/layout"
)

const (
	// Two targets with controlSlots slots and controlWorkMillis of run time
	// have a capacity of controlCapacityPerSecond.
	controlWorkMillis        = "25"
	controlSlots             = "5"
	controlCapacityPerSecond = 400
	controlSeconds           = 6
	overloadFactor           = 3
	// controlTimeoutMillis is how long callers wait.
	controlTimeoutMillis = 500
	// minGoodputFraction is the guaranteed fraction of the capacity that is
	// served in time under overload.
	minGoodputFraction = 0.9
)

// sendOverload sends three times the capacity to the addresses, and returns the
// figures of the requests.
func sendOverload(t *testing.T, addresses []string) figure.Figures {
	t.Helper()
	all := sendPlan(t, newPlan(t, overloadFactor*controlCapacityPerSecond, controlSeconds, addresses...).
		WithTimeout(controlTimeoutMillis).
		WithRoute("Stock", http.MethodGet, "/stock/1?bytes=64", 1)).All()
	t.Logf("%d sent, %d served, not served: %v", all.Requests, all.Served, all.Reasons)
	return all
}

// startControlFleet starts two targets with an almost unlimited backlog, which get
// slower the more requests wait, as real targets do.
func startControlFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	return start(t, layout.New("c1").WithService("stock", 2,
		"--slots", controlSlots, "--work-millis", controlWorkMillis, "--backlog", "100000", "--slow-down", "0.01"))
}

// At three times the capacity, a service without overload control serves almost
// nothing in time, and one with it serves almost its whole capacity. The test
// shows for real processes what package bench shows in a simulation.
func TestControlKeepsGoodputAtThreeTimesTheCapacity(t *testing.T) {
	f := startControlFleet(t)
	controlled := sendOverload(t, f.CallerAddresses())
	uncontrolledFleet := startControlFleet(t)
	var targets []string
	for _, in := range uncontrolledFleet.Instances {
		targets = append(targets, in.TargetAddress)
	}
	uncontrolled := sendOverload(t, targets)
	capacity := float64(controlCapacityPerSecond * controlSeconds)
	assert.Assert(t, float64(controlled.Served) >= minGoodputFraction*capacity, "%d served of a capacity of %.0f", controlled.Served, capacity)
	assert.Assert(t, uncontrolled.Served < controlled.Served/2, "%d served without control, %d with it", uncontrolled.Served, controlled.Served)
}
