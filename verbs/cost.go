package verbs

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/platform/soak"
)

type cost struct {
	Lasts    time.Duration `help:"Duration of the load." default:"15s" env:"LOOM_COST_LASTS"`
	Machines int           `help:"Number of nodes." default:"15" env:"LOOM_COST_MACHINES"`
	Rate     int           `help:"Requests a second, over all nodes." default:"600" env:"LOOM_COST_RATE"`
	Verbose  bool          `help:"Make the nodes log each request." env:"LOOM_COST_VERBOSE"`
}

func costVerb() Verb {
	return Verb{
		Name:    "cost",
		Help:    "Measure the resource usage of sidecars, idle and per request, as processes with stand-ins for the platform.",
		Command: &cost{},
	}
}

const bytesPerMB = 1 << 20

// Run measures once and prints the results.
func (c *cost) Run(s *session) error {
	binary, err := program()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "cost")
	if err != nil {
		return errors.Wrap(err, "creating a folder for the logs")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	got, err := soak.Soak{Binary: binary, Folder: folder, Seed: 1, Duration: c.Lasts, Machines: c.Machines, Rate: c.Rate, Verbose: c.Verbose}.Cost(s.context)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%d of %d requests served over two nodes each\n", got.Served, got.Requests)
	fmt.Fprintf(s.out, "processor time a request: %.3f ms, both nodes\n", got.RequestMillis)
	fmt.Fprintf(s.out, "processor time of an idle node: %.2f%% of a core\n", 100*got.IdleFraction)
	fmt.Fprintf(s.out, "memory of a node at most: %.0f MB\n", float64(got.PeakBytes)/bytesPerMB)
	fmt.Fprintf(s.out, "calls to the store, idle fleet of %d: %.1f a second\n", c.Machines, got.StoreCallsPerSecond)
	for _, name := range slices.Sorted(maps.Keys(got.Totals)) {
		fmt.Fprintf(s.out, "%s %d\n", name, got.Totals[name])
	}
	return nil
}
