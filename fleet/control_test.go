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
	// controlTargets with controlSlots slots of controlWork can serve
	// controlCapacity requests a second.
	controlWork     = "25"
	controlSlots    = "5"
	controlCapacity = 400
	controlSeconds  = 6
	overFactor      = 3
	// controlTimeout is how long callers wait, in milliseconds.
	controlTimeout = 500
	// goodputBound is the promised part of the capacity under overload.
	goodputBound = 0.9
)

// overload sends three times the capacity to the addresses, and returns what
// was answered in time.
func overload(t *testing.T, addresses []string) figure.Figures {
	t.Helper()
	all := send(t, ask(t, overFactor*controlCapacity, controlSeconds, addresses...).
		WithTimeout(controlTimeout).
		WithRoute("Stock", http.MethodGet, "/stock/1?bytes=64", 1)).All()
	t.Logf("%d sent, %d served, not served: %v", all.Requests, all.Served, all.Reasons)
	return all
}

// controlFleet starts two targets that queue whatever comes, and get slower by
// it, as targets do.
func controlFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	return start(t, layout.New("c1").WithService("stock", 2,
		"--slots", controlSlots, "--work-millis", controlWork, "--backlog", "100000", "--slow-down", "0.01"))
}

// With real processes it's as on the bench: at three times the capacity a
// service without control serves next to nothing in time, and with it next to
// all that it can.
func TestControlKeepsGoodputAtThreeTimesTheCapacity(t *testing.T) {
	f := controlFleet(t)
	on := overload(t, f.CallerAddresses())
	bare := controlFleet(t)
	var targets []string
	for _, in := range bare.Instances {
		targets = append(targets, in.TargetAddress)
	}
	off := overload(t, targets)
	could := float64(controlCapacity * controlSeconds)
	assert.Assert(t, float64(on.Served) >= goodputBound*could, "%d of %.0f", on.Served, could)
	assert.Assert(t, off.Served < on.Served/2, "%d without control, %d with it", off.Served, on.Served)
}
