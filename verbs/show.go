package verbs

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/config"
	"bergamotloom.example/loader"
	"bergamotloom.example/route"
	"bergamotloom.example/shasum"
	"bergamotloom.example/snap"
	"bergamotloom.example/store"
)

const columnGap = 2

// show prints the configuration in force.
type show struct {
	platformFlags
	File    string        `placeholder:"NAME" help:"Print only the content of this file."`
	Nodes   []string      `env:"LOOM_OPERATOR_PORTS" placeholder:"ADDRESS" help:"Operators' addresses of nodes whose version is printed too."`
	Timeout time.Duration `default:"10s" help:"Longest time for the whole command."`
}

func showVerb() Verb {
	return Verb{
		Name:    "show",
		Help:    "Print the configuration in force: files, teams, services, routes.",
		Command: &show{},
	}
}

// Run reads the table and, if asked to, nodes.
func (w *show) Run(s *session) error {
	return w.within(s, w.Timeout, func(ctx context.Context, configuration *store.Store) error {
		read, err := configuration.Read(ctx)
		if err != nil {
			return err
		}
		if w.File != "" {
			return printFile(s.out, read, w.File)
		}
		loaded, problems := loader.New().Load(read.Version, read.Contents())
		if len(problems) > 0 {
			return problemsError(problems)
		}
		return errors.Wrap(w.print(ctx, s.out, read, loaded), "printing")
	})
}

func printFile(out io.Writer, read snap.Snapshot, name string) error {
	content, ok := read.Contents()[name]
	if !ok {
		return usageError{errors.Errorf("no file %q in version %d", name, read.Version)}
	}
	_, err := out.Write(content)
	return errors.Wrap(err, "printing")
}

func (w *show) print(ctx context.Context, out io.Writer, read snap.Snapshot, c *config.Config) error {
	if read.Version == 0 {
		_, err := fmt.Fprintln(out, "version 0: nothing has been applied yet")
		return err
	}
	fmt.Fprintf(out, "version %d by %s at %s: %s\n", read.Version, read.Who, read.When, summary(len(read.Contents()), c))
	t := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	printFiles(t, read)
	printTeams(t, c)
	printServices(t, c)
	printRoutes(t, c)
	if err := t.Flush(); err != nil {
		return err
	}
	for _, n := range readNodes(ctx, w.Nodes) {
		fmt.Fprintln(out, n)
	}
	return nil
}

func printFiles(t *tabwriter.Writer, read snap.Snapshot) {
	fmt.Fprintln(t, "\nFILE\tVERSION\tWHO\tWHEN\tDIGEST")
	for _, name := range sortedNames(read.Contents()) {
		f := read.Files[name]
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", f.Name, f.Version, f.Who, f.When, shasum.Short(f.Digest))
	}
}

func printTeams(t *tabwriter.Writer, c *config.Config) {
	fmt.Fprintln(t, "\nTEAM\tRATE\tBURST\tKEYS")
	for _, m := range c.Teams() {
		fmt.Fprintf(t, "%s\t%g/s\t%g\t%d\n", m.Name, m.Rate, m.Burst, len(m.Keys))
	}
}

func printServices(t *tabwriter.Writer, c *config.Config) {
	fmt.Fprintln(t, "\nSERVICE\tSLOTS\tSLOWSTART")
	for _, v := range c.Services() {
		fmt.Fprintf(t, "%s\t%d\t%s\n", v.Name, v.Slots, millis(v.SlowStartMillis))
	}
}

func printRoutes(t *tabwriter.Writer, c *config.Config) {
	fmt.Fprintln(t, "\nROUTE\tMATCH\tMETHODS\tSERVICE\tRANK\tTIMEOUT\tRETRIES\tIDEMPOTENT\tTEAMS")
	for _, r := range c.Routes() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%t\t%s\n", r.Name, r.Match, listOr(r.Methods, "all"),
			r.Service, r.Rank, millis(r.TimeoutMillis), r.Retries, r.Idempotent, whoMay(r))
	}
}

// whoMay names the teams that may use a route.
func whoMay(r route.Route) string {
	if r.OpenToAll {
		return "open to all"
	}
	return listOr(r.Teams, "all with a key")
}

func listOr(all []string, none string) string {
	if len(all) == 0 {
		return none
	}
	return strings.Join(all, ",")
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
