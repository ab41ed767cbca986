package verbs

import (
	"fmt"

	"bergamotloom.example/chain"
)

type chains struct {
	Patterns []string `arg:"" optional:"" help:"Load patterns to simulate; all when none is named."`
	Seed     uint64   `help:"Seed of the random arrivals and work times." default:"1" env:"LOOM_BENCH_SEED"`
	Control  []string `help:"Controls to compare; all by default." env:"LOOM_CHAINS_CONTROL"`
	List     bool     `help:"List the patterns and controls, and run nothing."`
	JSON     bool     `name:"json" help:"Print the outcomes as JSON instead of a table."`
	Plot     string   `help:"Plot the worth over time to this file (.svg or .png)." type:"path"`
}

func chainsVerb() Verb {
	return Verb{
		Name:    "chains",
		Help:    "Simulate load patterns on chains of services with sidecars, on a virtual clock.",
		Command: &chains{},
	}
}

// Run simulates each pattern under each control.
func (c *chains) Run(s *session) error {
	if c.List {
		chain.WriteList(s.out)
		return nil
	}
	all, err := c.runAll()
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := chain.Draw(c.Plot, all); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(s.out, all)
	}
	fmt.Fprintf(s.out, "Chains, seed %d:\n\n", c.Seed)
	chain.WriteTable(s.out, all)
	return nil
}

func (c *chains) runAll() ([]chain.Outcome, error) {
	patterns, controls := orAll(c.Patterns, chain.Patterns()), orAll(c.Control, chain.Controls())
	return runSimulations(len(patterns)*len(controls), func(i int) (chain.Outcome, error) {
		return chain.Run(patterns[i/len(controls)], controls[i%len(controls)], c.Seed)
	})
}
