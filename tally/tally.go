// Package tally counts the outcomes of a load's requests, by team and by route.
package tally

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"bergamotloom.example/answer"
	"bergamotloom.example/figure"
)

const (
	microsPerMilli = 1000
	// maxMicros is the upper end of the histograms: 10 minutes.
	maxMicros         = 600_000_000
	significantDigits = 3
	columnPadding     = 2
)

// group counts the outcomes of one team or route.
type group struct {
	counts        figure.Figures
	latencyMicros *hdrhistogram.Histogram
}

func newGroup(name string) *group {
	return &group{
		counts:        figure.Figures{Name: name, Reasons: make(map[string]int64)},
		latencyMicros: hdrhistogram.New(1, maxMicros, significantDigits),
	}
}

// Tally counts outcomes. Only one goroutine may use it at a time.
type Tally struct {
	all        *group
	lateMicros *hdrhistogram.Histogram
	teams      map[string]*group
	routes     map[string]*group
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{
		all:        newGroup("all"),
		lateMicros: hdrhistogram.New(1, maxMicros, significantDigits),
		teams:      make(map[string]*group),
		routes:     make(map[string]*group),
	}
}

// Add counts one outcome.
func (t *Tally) Add(a answer.Outcome) {
	t.all.add(a)
	groupOf(t.teams, a.Team).add(a)
	groupOf(t.routes, a.Route).add(a)
	record(t.lateMicros, a.LateMillis)
}

func groupOf(groups map[string]*group, name string) *group {
	g, ok := groups[name]
	if !ok {
		g = newGroup(name)
		groups[name] = g
	}
	return g
}

func (g *group) add(a answer.Outcome) {
	c := &g.counts
	c.Requests++
	c.Sends += int64(a.Sends)
	switch a.Kind {
	case answer.Served:
		c.Served++
		record(g.latencyMicros, a.Millis)
		return
	case answer.Refused:
		c.Refused++
	case answer.Failed:
		c.Failed++
	case answer.Broken:
		c.Broken++
	case answer.Wrong:
		c.Wrong++
	case answer.Unsent:
		c.Unsent++
	}
	c.Reasons[strings.TrimSpace(fmt.Sprintf("%s %s %s", a.Kind, a.Reason, a.Ran))]++
}

// record adds a time to the histogram, limited to the range that it covers.
func record(h *hdrhistogram.Histogram, millis float64) {
	value := min(max(int64(millis*microsPerMilli), 1), maxMicros)
	if err := h.RecordValue(value); err != nil {
		panic(err) // the value is within the histogram's range
	}
}

// figures returns the current counts and percentiles.
func (g *group) figures() figure.Figures {
	c := g.counts
	c.Reasons = make(map[string]int64, len(g.counts.Reasons))
	for r, n := range g.counts.Reasons {
		c.Reasons[r] = n
	}
	c.P50Millis = percentile(g.latencyMicros, 50)
	c.P99Millis = percentile(g.latencyMicros, 99)
	c.P999Millis = percentile(g.latencyMicros, 99.9)
	c.MaxMillis = float64(g.latencyMicros.Max()) / microsPerMilli
	return c
}

func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtPercentile(p)) / microsPerMilli
}

// All returns the figures of the whole load.
func (t *Tally) All() figure.Figures { return t.all.figures() }

// Teams returns the figures by team in the order of their names.
func (t *Tally) Teams() []figure.Figures { return sorted(t.teams) }

// Routes returns the figures by route in the order of their names.
func (t *Tally) Routes() []figure.Figures { return sorted(t.routes) }

// LateP99Millis returns the 99th percentile of the delay of sends after their
// planned times, in milliseconds. More than a few milliseconds mean that the
// load generator itself was too slow.
func (t *Tally) LateP99Millis() float64 { return percentile(t.lateMicros, 99) }

func sorted(groups map[string]*group) []figure.Figures {
	all := make([]figure.Figures, 0, len(groups))
	for _, g := range groups {
		all = append(all, g.figures())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// WriteJSON writes all figures as one JSON document.
func (t *Tally) WriteJSON(w io.Writer) error {
	document := struct {
		All           figure.Figures
		Teams         []figure.Figures
		Routes        []figure.Figures
		LateP99Millis float64
	}{t.All(), t.Teams(), t.Routes(), t.LateP99Millis()}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(document), "tally: writing JSON")
}

// WriteTable writes all figures as aligned text tables.
func (t *Tally) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	t.writeRows(table, "Team", t.Teams())
	t.writeRows(table, "Route", t.Routes())
	t.writeRows(table, "", []figure.Figures{t.All()})
	fmt.Fprintf(table, "\nNot served\tCount\n")
	all := t.All()
	for _, r := range reasons(all) {
		fmt.Fprintf(table, "%s\t%d\n", r, all.Reasons[r])
	}
	fmt.Fprintf(table, "\nSends were late by %.1f ms or less for 99 in 100.\n", t.LateP99Millis())
	return errors.Wrap(table.Flush(), "tally: writing the table")
}

func reasons(c figure.Figures) []string {
	names := make([]string, 0, len(c.Reasons))
	for r := range c.Reasons {
		names = append(names, r)
	}
	slices.Sort(names)
	return names
}

func (t *Tally) writeRows(w io.Writer, title string, rows []figure.Figures) {
	if title != "" {
		fmt.Fprintf(w, "%s\tRequests\tSends\tServed\tRefused\tFailed\tBroken\tWrong\tUnsent\tp50 ms\tp99 ms\tp99.9 ms\n", title)
	}
	for _, c := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\n",
			c.Name, c.Requests, c.Sends, c.Served, c.Refused, c.Failed, c.Broken, c.Wrong, c.Unsent,
			c.P50Millis, c.P99Millis, c.P999Millis)
	}
	if title != "" {
		fmt.Fprintln(w)
	}
}
