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

// columnGap is the number of spaces between columns.
const columnGap = 2

// show prints the configuration in force.
type show struct {
	platformFlags
	File    string        `placeholder:"NAME" help:"Print only the content of this file."`
	Nodes   []string      `env:"LOOM_OPERATOR_PORTS" placeholder:"ADDRESS" help:"Operator addresses of nodes whose version is printed too."`
	Timeout time.Duration `default:"10s" help:"Timeout of the whole command."`
}

func showVerb() Verb {
	return Verb{
		Name:    "show",
		Help:    "Print the configuration in force: files, teams, services, routes.",
		Command: &show{},
	}
}

// Run prints the configuration in the table and, with --nodes, the nodes' versions.
func (w *show) Run(s *session) error {
	return w.within(s, w.Timeout, func(ctx context.Context, configuration *store.Store) error {
		snapshot, err := configuration.Read(ctx)
		if err != nil {
			return err
		}
		if w.File != "" {
			return printFile(s.out, snapshot, w.File)
		}
		loaded, problems := loader.New().Load(snapshot.Version, snapshot.Contents())
		if len(problems) > 0 {
			return problemsError(problems)
		}
		return errors.Wrap(w.print(ctx, s.out, snapshot, loaded), "printing")
	})
}

func printFile(out io.Writer, snapshot snap.Snapshot, name string) error {
	content, ok := snapshot.Contents()[name]
	if !ok {
		return usageError{errors.Errorf("no file %q in version %d", name, snapshot.Version)}
	}
	_, err := out.Write(content)
	return errors.Wrap(err, "printing")
}

func (w *show) print(ctx context.Context, out io.Writer, snapshot snap.Snapshot, c *config.Config) error {
	if snapshot.Version == 0 {
		_, err := fmt.Fprintln(out, "version 0: nothing has been applied yet")
		return err
	}
	fmt.Fprintf(out, "version %d by %s at %s: %s\n", snapshot.Version, snapshot.Who, snapshot.When, summary(len(snapshot.Contents()), c))
	t := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	printFiles(t, snapshot)
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

func printFiles(t *tabwriter.Writer, snapshot snap.Snapshot) {
	fmt.Fprintln(t, "\nFILE\tVERSION\tWHO\tWHEN\tDIGEST")
	for _, name := range sortedNames(snapshot.Contents()) {
		f := snapshot.Files[name]
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
			r.Service, r.Rank, millis(r.TimeoutMillis), r.Retries, r.Idempotent, allowedTeams(r))
	}
}

// allowedTeams returns the names of the teams that may use a route.
func allowedTeams(r route.Route) string {
	if r.OpenToAll {
		return "open to all"
	}
	return listOr(r.Teams, "all with a key")
}

// listOr joins a list with commas, or returns fallback if it's empty.
func listOr(all []string, fallback string) string {
	if len(all) == 0 {
		return fallback
	}
	return strings.Join(all, ",")
}

// millis returns a duration of this many milliseconds.
func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
