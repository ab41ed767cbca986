package verbs

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

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
	all := make([]bench.Outcome, len(sizes)*len(scenarios)*len(policies))
	var g errgroup.Group
	g.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	i := 0
	for _, z := range sizes {
		for _, n := range scenarios {
			for _, p := range policies {
				place := &all[i]
				i++
				g.Go(func() error {
					o, err := bench.Play(n, z, p, b.Seed)
					*place = o
					return err
				})
			}
		}
	}
	if err := g.Wait(); err != nil {
		return nil, usageError{err}
	}
	return all, nil
}

func (b *benchmark) print(s *session, sizes []string, all []bench.Outcome) error {
	if b.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(all), "printing the outcomes")
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

func orAll(chosen, all []string) []string {
	if len(chosen) == 0 {
		return all
	}
	return chosen
}
