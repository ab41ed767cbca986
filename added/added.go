// Package added measures the latency that nodes add to a request: it sends
// requests to the same target directly and through nodes, alternating in one run.
package added

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/cost"
	"bergamotloom.example/figure"
	"bergamotloom.example/load"
	"bergamotloom.example/plan"
	"bergamotloom.example/proc"
	"bergamotloom.example/sender"
	"bergamotloom.example/tally"
)

const (
	warmUpSeconds  = 0.5
	timeoutMillis  = 5000
	microsPerMilli = 1000
	columnPadding  = 2
)

// Experiment compares two paths to the same target.
type Experiment struct {
	// Direct is the target's address, Through the addresses of nodes' caller
	// ports.
	Direct  string
	Through []string
	// Key is the caller's API key; Method and Path are those of the request.
	Key    string
	Method string
	Path   string
	// Rates are the arrival rates to measure one after another, in requests a
	// second. At each one the two paths alternate, Rounds times for Seconds each.
	Rates   []float64
	Rounds  int
	Seconds float64
	Seed    uint64
	// Nodes are the process ids of the nodes, for measuring their CPU time.
	Nodes []int
}

// Run measures all rates and returns one cost for each.
func (e Experiment) Run(ctx context.Context, c clock.Clock) ([]cost.Cost, error) {
	costs := make([]cost.Cost, 0, len(e.Rates))
	for _, rate := range e.Rates {
		rateCost, err := e.runRate(ctx, c, rate)
		if err != nil {
			return nil, err
		}
		costs = append(costs, rateCost)
	}
	return costs, nil
}

func (e Experiment) runRate(ctx context.Context, c clock.Clock, rate float64) (cost.Cost, error) {
	direct, through := tally.New(), tally.New()
	directTotalMillis, throughTotalMillis := int64(0), int64(0)
	for round := range e.Rounds {
		directCPUMillis, err := e.runTurn(ctx, c, rate, round, []string{e.Direct}, direct)
		if err != nil {
			return cost.Cost{}, err
		}
		throughCPUMillis, err := e.runTurn(ctx, c, rate, round, e.Through, through)
		if err != nil {
			return cost.Cost{}, err
		}
		directTotalMillis += directCPUMillis
		throughTotalMillis += throughCPUMillis
	}
	rateCost := cost.Cost{Rate: rate, Direct: direct.All(), Through: through.All()}
	if rateCost.Through.Requests > 0 {
		rateCost.CPUMicros = float64(throughTotalMillis-directTotalMillis) * microsPerMilli / float64(rateCost.Through.Requests)
	}
	return rateCost, checkServed(rateCost)
}

// checkServed returns an error if any request wasn't served, because the
// latencies of the others alone wouldn't be comparable.
func checkServed(r cost.Cost) error {
	for _, f := range []figure.Figures{r.Direct, r.Through} {
		if f.Served < f.Requests {
			return errors.Errorf("added: %d of %d requests weren't served at %v a second: %v",
				f.Requests-f.Served, f.Requests, r.Rate, f.Reasons)
		}
	}
	return nil
}

// runTurn sends a load over one path and returns the CPU time that the nodes
// used, in milliseconds. A warm-up before it opens connections and isn't counted.
func (e Experiment) runTurn(
	ctx context.Context, c clock.Clock, rate float64, round int, addresses []string, t *tally.Tally,
) (int64, error) {
	// The name must be unique on the fleet, because markers and idempotency keys
	// begin with it.
	name := fmt.Sprintf("a%d-%v-%d", c.Now(), rate, round)
	p := plan.New(name, e.Seed+uint64(round)).
		WithNodes(addresses...).
		WithTimeout(timeoutMillis).
		WithTeam("team", e.Key, 1).
		WithRoute("route", e.Method, e.Path, 1)
	s := sender.New(timeoutMillis)
	defer s.Close()
	load.New(p.WithPhase(warmUpSeconds, rate), c, s).Run(ctx)
	beforeMillis, err := e.cpuMillis()
	if err != nil {
		return 0, err
	}
	load.New(p.WithRun(name+"m").WithPhase(e.Seconds, rate), c, s).RunInto(ctx, t)
	afterMillis, err := e.cpuMillis()
	return afterMillis - beforeMillis, err
}

func (e Experiment) cpuMillis() (int64, error) {
	total := int64(0)
	for _, id := range e.Nodes {
		millis, err := proc.CPUMillis(id)
		if err != nil {
			return 0, err
		}
		total += millis
	}
	return total, nil
}

// WriteTable writes the results as an aligned text table.
func WriteTable(w io.Writer, costs []cost.Cost) error {
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "Rate\tWay\tServed\tp50 ms\tp99 ms\tp99.9 ms\tCPU us/request")
	for _, r := range costs {
		writeRow(table, r.Rate, "direct", r.Direct, "")
		writeRow(table, r.Rate, "through", r.Through, fmt.Sprintf("%.0f", r.CPUMicros))
		p50, p99, p999 := r.AddedMillis()
		fmt.Fprintf(table, "%v\tadded\t\t%.2f\t%.2f\t%.2f\t\n", r.Rate, p50, p99, p999)
	}
	return errors.Wrap(table.Flush(), "added: writing the table")
}

func writeRow(w io.Writer, rate float64, pathName string, f figure.Figures, cpu string) {
	fmt.Fprintf(w, "%v\t%s\t%d\t%.2f\t%.2f\t%.2f\t%s\n", rate, pathName, f.Served, f.P50Millis, f.P99Millis, f.P999Millis, cpu)
}

// Check returns an error that names the first invalid field.
func (e Experiment) Check() error {
	switch {
	case e.Direct == "" || len(e.Through) == 0:
		return errors.New("added: both ways need an address")
	case e.Method == http.MethodConnect || e.Path == "" || e.Path[0] != '/':
		return errors.Errorf("added: path is %q: must begin with /", e.Path)
	case len(e.Rates) == 0 || e.Rounds < 1 || e.Seconds <= 0:
		return errors.New("added: rates, rounds and seconds must be above 0")
	}
	return nil
}
