package verbs

import (
	"encoding/json"

	"github.com/pkg/errors"

	"bergamotloom.example/added"
	"bergamotloom.example/clock"
)

type overhead struct {
	Direct  string    `required:"" placeholder:"ADDRESS" help:"Address of the target."`
	Through []string  `required:"" placeholder:"ADDRESS" help:"Caller ports of nodes that lead to it."`
	Key     string    `env:"LOOM_KEY" help:"API key of the team that sends the requests."`
	Method  string    `default:"GET" help:"Method of the requests."`
	Path    string    `required:"" help:"Path of the requests."`
	Rates   []float64 `default:"100,500,2000" help:"Arrivals a second, measured one after another."`
	Rounds  int       `default:"3" help:"Measurements of each address at each rate."`
	Seconds float64   `default:"3" help:"Duration of a measurement, in seconds."`
	Seed    uint64    `default:"1" help:"Seed of all random draws."`
	Process []int     `placeholder:"ID" help:"Process IDs of the nodes, to measure their processor time."`
	JSON    bool      `name:"json" help:"Print JSON instead of a table."`
}

func overheadVerb() Verb {
	return Verb{
		Name:    "overhead",
		Help:    "Measure the latency that nodes add to a request.",
		Command: &overhead{},
	}
}

// Run measures and prints the comparison.
func (o *overhead) Run(s *session) error {
	e := added.Experiment{
		Direct:  o.Direct,
		Through: o.Through,
		Key:     o.Key,
		Method:  o.Method,
		Path:    o.Path,
		Rates:   o.Rates,
		Rounds:  o.Rounds,
		Seconds: o.Seconds,
		Seed:    o.Seed,
		Nodes:   o.Process,
	}
	if err := e.Check(); err != nil {
		return usageError{err}
	}
	costs, err := e.Run(s.context, clock.New())
	if err != nil {
		return err
	}
	if o.JSON {
		return errors.Wrap(json.NewEncoder(s.out).Encode(costs), "printing JSON")
	}
	return added.WriteTable(s.out, costs)
}
