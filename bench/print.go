package bench

import (
	"fmt"
	"io"

	"bergamotloom.example/rank"
)

// WriteTable writes the outcomes as one table in Markdown.
func WriteTable(w io.Writer, all []Outcome) {
	fmt.Fprintln(w, "| scenario | policy | goodput | recovery s | worst team | wrongful | refused C/N/S | C refused while lower served | wasted | sends | p50 ms | p99 ms |")
	fmt.Fprintln(w, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, o := range all {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s/%s/%s | %s | %s | %.3f | %.0f | %.0f |\n",
			o.Scenario, o.Policy, percent(o.Goodput), seconds(o), percent(o.WorstTeam),
			percent(o.Wrongful), percent(o.Refused[rank.Critical]), percent(o.Refused[rank.Normal]),
			percent(o.Refused[rank.Sheddable]), percent(o.Inverted), percent(o.Wasted), o.Sends,
			o.MedianMillis, o.TailMillis)
	}
}

func percent(x float64) string {
	return fmt.Sprintf("%.2f%%", x*100)
}

func seconds(o Outcome) string {
	if !o.Recovered {
		return "never"
	}
	return fmt.Sprintf("%.1f", o.RecoveryMillis/millisPerSecond)
}

// WriteList writes the names of scenarios, deployments and policies.
func WriteList(w io.Writer) {
	fmt.Fprintln(w, "Scenarios:")
	for _, s := range scenarios() {
		fmt.Fprintf(w, "  %-10s %s\n", s.name, s.help)
	}
	fmt.Fprintln(w, "Deployments:")
	for _, z := range deployments() {
		fmt.Fprintf(w, "  %-10s %.0f requests a second\n", z.name, z.fullCapacity())
	}
	fmt.Fprintln(w, "Policies:")
	for _, p := range policies() {
		fmt.Fprintf(w, "  %-10s %s\n", p.name, p.help)
	}
}
