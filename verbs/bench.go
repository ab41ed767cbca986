package verbs

import (
	"fmt"
	"slices"

	"bergamotloom.example/bench"
)

type benchmark struct {
	Scenarios []string `arg:"" optional:"" help:"Scenarios to run; all when none is named."`
	Seed      uint64   `help:"Seed of the random arrivals and work times." default:"1" env:"LOOM_BENCH_SEED"`
	Size      []string `help:"Deployments to run at; all by default." env:"LOOM_BENCH_SIZE"`
	Policy    []string `help:"Policies to compare; all by default." env:"LOOM_BENCH_POLICY"`
	List      bool     `help:"List the scenarios, deployments and policies, and run nothing."`
	JSON      bool     `name:"json" help:"Print the outcomes as JSON instead of tables."`
	Plot      string   `help:"Plot the goodput over time to this file (.svg or .png)." type:"path"`
}

func benchVerb() Verb {
	return Verb{
		Name:    "bench",
		Help:    "Simulate overload control under load on a virtual clock and print the results.",
		Command: &benchmark{},
	}
}

// Run simulates each scenario at each deployment size under each policy.
func (b *benchmark) Run(s *session) error {
	if b.List {
		bench.WriteList(s.out)
		return nil
	}
	sizes := orAll(b.Size, bench.Deployments())
	all, err := b.runAll(sizes)
	if err != nil {
		return err
	}
	if b.Plot != "" {
		if err := bench.Draw(b.Plot, all); err != nil {
			return err
		}
	}
	return b.print(s, sizes, all)
}

func (b *benchmark) runAll(sizes []string) ([]bench.Outcome, error) {
	scenarios := orAll(b.Scenarios, bench.Scenarios())
	policies := orAll(b.Policy, bench.Policies())
	perSize := len(scenarios) * len(policies)
	return runSimulations(len(sizes)*perSize, func(i int) (bench.Outcome, error) {
		scenario, policy := scenarios[i%perSize/len(policies)], policies[i%len(policies)]
		return bench.Run(scenario, sizes[i/perSize], policy, b.Seed)
	})
}

func (b *benchmark) print(s *session, sizes []string, all []bench.Outcome) error {
	if b.JSON {
		return printJSON(s.out, all)
	}
	for _, size := range sizes {
		fmt.Fprintf(s.out, "Deployment %s, seed %d:\n\n", size, b.Seed)
		bench.WriteTable(s.out, slices.DeleteFunc(slices.Clone(all), func(o bench.Outcome) bool {
			return o.Size != size
		}))
		fmt.Fprintln(s.out)
	}
	return nil
}
