package added_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bergamotloom.example/added"
	"bergamotloom.example/clock"
	"bergamotloom.example/cost"
	"bergamotloom.example/figure"
	"bergamotloom.example/runlog"
	"bergamotloom.example/target"
	"bergamotloom.example/traits"
)

// serve runs a target with this mean service time and returns its address.
func serve(t *testing.T, workMillis float64) string {
	t.Helper()
	initial := traits.New(100)
	initial.WorkMillis = workMillis
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // test
	assert.NilError(t, err)
	server := target.New("stock", "", "", initial, 1, clock.New(), runlog.New(nil), slog.New(slog.DiscardHandler), os.Exit)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	return listener.Addr().String()
}

func TestSlowerPathShowsAddedLatency(t *testing.T) {
	e := added.Experiment{
		Direct: serve(t, 0),
		// Far beyond the delays of a machine whose processors are busy elsewhere.
		Through: []string{serve(t, 300)},
		Method:  http.MethodGet,
		Path:    "/x",
		Rates:   []float64{100},
		Rounds:  2,
		Seconds: 0.3,
		Nodes:   []int{os.Getpid()},
	}
	assert.NilError(t, e.Check())
	costs, err := e.Run(t.Context(), clock.New())
	assert.NilError(t, err)
	p50, _, _ := costs[0].AddedMillis()
	assert.Assert(t, p50 > 200, "%v ms", p50)

	e.Through, e.Rounds = []string{"127.0.0.1:1"}, 1
	_, err = e.Run(t.Context(), clock.New())
	assert.ErrorContains(t, err, "weren't served at 100 a second")
}

func TestTableShowsDifferences(t *testing.T) {
	direct := figure.Figures{Served: 300, P50Millis: 0.4, P99Millis: 1, P999Millis: 2}
	through := figure.Figures{Served: 301, P50Millis: 0.9, P99Millis: 1.75, P999Millis: 4}
	out := &bytes.Buffer{}
	assert.NilError(t, added.WriteTable(out, []cost.Cost{{Rate: 100, Direct: direct, Through: through, CPUMicros: 212}}))
	golden.Assert(t, out.String(), "table.golden")
}
