package chain

import (
	"fmt"
	"io"
)

const percent = 100

// WriteTable writes the outcomes as one table in Markdown.
func WriteTable(w io.Writer, all []Outcome) {
	fmt.Fprintln(w, "| pattern | control | worth | bound | browse / buy / check served | late | failed | refused | refused twice | wasted | p99 ms |")
	fmt.Fprintln(w, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, o := range all {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s / %s / %s | %s | %s | %s | %s | %s | %.0f |\n",
			o.Pattern, o.Control, percents(o.Worth), percents(o.Bound),
			percents(o.Served["browse"]), percents(o.Served["buy"]), percents(o.Served["check"]),
			percents(o.Late), percents(o.Failed), percents(o.Refused), percents(o.Twice), percents(o.Wasted), o.TailMillis)
	}
}

func percents(x float64) string {
	return fmt.Sprintf("%.1f%%", x*percent)
}

// WriteList writes the names of patterns and controls.
func WriteList(w io.Writer) {
	fmt.Fprintln(w, "Patterns:")
	for _, p := range patterns() {
		fmt.Fprintf(w, "  %-8s %s\n", p.name, p.help)
	}
	fmt.Fprintln(w, "Controls:")
	for _, c := range controls() {
		fmt.Fprintf(w, "  %-8s %s\n", c.name, c.help)
	}
}
