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
	Plot      string   `help:"Draw the goodput over time into this file (.svg or .png)." type:"path"`
}

func benchVerb() Verb {
	return Verb{
		Name:    "bench",
		Help:    "Run the decisions under load on a virtual clock and print the measures.",
		Command: &benchmark{},
	}
}

// Run plays each scenario at each deployment under each policy.
func (b *benchmark) Run(s *session) error {
	if b.List {
		bench.WriteList(s.out)
		return nil
	}
	sizes := orAll(b.Size, bench.Deployments())
	all, err := b.play(sizes)
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

func (b *benchmark) play(sizes []string) ([]bench.Outcome, error) {
	scenarios := orAll(b.Scenarios, bench.Scenarios())
	policies := orAll(b.Policy, bench.Policies())
	each := len(scenarios) * len(policies)
	return playAll(len(sizes)*each, func(i int) (bench.Outcome, error) {
		scenario, policy := scenarios[i%each/len(policies)], policies[i%len(policies)]
		return bench.Run(scenario, sizes[i/each], policy, b.Seed)
	})
}

func (b *benchmark) print(s *session, sizes []string, all []bench.Outcome) error {
	if b.JSON {
		return printJSON(s.out, all)
	}
	for _, z := range sizes {
		fmt.Fprintf(s.out, "Deployment %s, seed %d:\n\n", z, b.Seed)
		bench.WriteTable(s.out, slices.DeleteFunc(slices.Clone(all), func(o bench.Outcome) bool {
			return o.Size != z
		}))
		fmt.Fprintln(s.out)
	}
	return nil
}
