package verbs

import (
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"

	"bergamotloom.example/trial"
)

type compare struct {
	Quota compareQuota `cmd:"" help:"Compare ways to enforce team rates over all nodes."`
}

type compareQuota struct {
	Seed    uint64 `default:"1" env:"LOOM_SEED" help:"Seed of the arrivals."`
	Seconds int    `default:"60" env:"LOOM_SECONDS" help:"Duration of each run in seconds of the virtual clock."`
}

func compareVerb() Verb {
	return Verb{
		Name:    "compare",
		Help:    "Compare mechanisms on the same seeded sequence of requests.",
		Command: &compare{},
	}
}

const perMille = 1000

// Run prints one line for each way and scenario.
func (c *compareQuota) Run(s *session) error {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "Scenario\tWay\tOffered\tIdeal\tAdmitted\tWrong\tWrong/1000\tAfter 5 s/1000\tOver\t"+
		"Messages/s/node\tBytes/s/node\tReads/s\tWrites/s")
	for _, t := range trial.RunAll(c.Seed, c.Seconds) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.2f\t%.2f\n",
			t.Scenario, t.Limiter, t.Offered, t.Ideal, t.Admitted, t.Wrong,
			perMille*float64(t.Wrong)/float64(t.Ideal), perMille*float64(t.WrongSteady)/float64(t.Ideal),
			t.MaxOverdraft, t.Messages, t.Bytes, t.Reads, t.Writes)
	}
	return errors.Wrap(w.Flush(), "printing the comparison")
}
