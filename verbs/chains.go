package verbs

import (
	"encoding/json"
	"fmt"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"bergamotloom.example/chain"
)

type chains struct {
	Patterns []string `arg:"" optional:"" help:"Load patterns to play; all when none is named."`
	Seed     uint64   `help:"Seed of the random arrivals and work times." default:"1" env:"LOOM_BENCH_SEED"`
	Control  []string `help:"Controls to compare; all by default." env:"LOOM_CHAINS_CONTROL"`
	List     bool     `help:"List the patterns and controls, and play nothing."`
	JSON     bool     `name:"json" help:"Print the outcomes as JSON instead of a table."`
	Plot     string   `help:"Draw the worth over time into this file (.svg or .png)." type:"path"`
}

func chainsVerb() Verb {
	return Verb{
		Name:    "chains",
		Help:    "Play load patterns on chains of services against a sidecar's decisions, on a virtual clock.",
		Command: &chains{},
	}
}

// Run plays each pattern under each control.
func (c *chains) Run(s *session) error {
	if c.List {
		chain.WriteList(s.out)
		return nil
	}
	all, err := c.play()
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := chain.Draw(c.Plot, all); err != nil {
			return err
		}
	}
	if c.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(all), "printing the outcomes")
	}
	fmt.Fprintf(s.out, "Chains, seed %d:\n\n", c.Seed)
	chain.WriteTable(s.out, all)
	return nil
}

func (c *chains) play() ([]chain.Outcome, error) {
	patterns, controls := orAll(c.Patterns, chain.Patterns()), orAll(c.Control, chain.Controls())
	all := make([]chain.Outcome, len(patterns)*len(controls))
	var g errgroup.Group
	g.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i := range all {
		g.Go(func() error {
			o, err := chain.Play(patterns[i/len(controls)], controls[i%len(controls)], c.Seed)
			all[i] = o
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, usageError{err}
	}
	return all, nil
}
