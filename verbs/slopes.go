package verbs

import (
	"github.com/pkg/errors"

	"bergamotloom.example/slope"
)

type slopes struct {
	Nodes    []int  `help:"Fleet sizes to measure, in nodes." default:"64,256,1024" env:"BERGAMOTLOOM_SLOPES_NODES"`
	Members  []int  `help:"Fleet sizes at which the cost of a join is measured, in members." default:"64,1024,9400" env:"BERGAMOTLOOM_SLOPES_MEMBERS"`
	Services int    `help:"Number of services that the nodes belong to." default:"330" env:"BERGAMOTLOOM_SLOPES_SERVICES"`
	Seed     uint64 `help:"Seed of all random choices." default:"1" env:"BERGAMOTLOOM_SLOPES_SEED"`
	JSON     bool   `name:"json" help:"Print JSON instead of tables."`
}

func slopesVerb() Verb {
	return Verb{
		Name:    "slopes",
		Help:    "Measure the cost of membership for a node, by nodes, services and changes.",
		Command: &slopes{},
	}
}

// Run measures and prints the report.
func (p *slopes) Run(s *session) error {
	if err := p.check(); err != nil {
		return usageError{err}
	}
	r, err := slope.Measure(p.Nodes, p.Members, p.Services, p.Seed)
	if err != nil {
		return err
	}
	if p.JSON {
		return printJSON(s.out, r)
	}
	return errors.Wrap(r.Write(s.out), "printing the report")
}

func (p *slopes) check() error {
	const minNodes = 24
	if p.Services < 1 {
		return errors.New("--services must be at least 1")
	}
	for _, n := range append(append([]int(nil), p.Nodes...), p.Members...) {
		if n < minNodes {
			return errors.Errorf("a fleet of %d nodes is too small: the minimum is %d", n, minNodes)
		}
	}
	return nil
}
