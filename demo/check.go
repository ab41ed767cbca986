package demo

import (
	"fmt"
	"net/http"
	"sort"
	"text/tabwriter"

	"github.com/pkg/errors"

	"bergamotloom.example/answer"
	"bergamotloom.example/runrec"
	"bergamotloom.example/runst"
	"bergamotloom.example/tally"
)

const columnGap = 2

// judge prints what happened and returns an error if a promise was broken.
func (d *Demo) judge(totals *tally.Tally) error {
	runs, err := d.fleet.Runs()
	if err != nil {
		return err
	}
	d.judgeAnswers(totals)
	d.judgeRuns(runs)
	d.say("")
	if err := totals.WriteTable(d.out); err != nil {
		return err
	}
	d.say("")
	d.printRuns(runs)
	d.say("")
	return d.printFindings()
}

// judgeAnswers checks what callers got.
func (d *Demo) judgeAnswers(totals *tally.Tally) {
	all := totals.All()
	d.note(all.Broken == 0, "No request in flight is cut off", "%d answers broken", all.Broken)
	d.note(all.Wrong == 0, "Every caller gets the whole answer to its own request", "%d wrong of %d", all.Wrong, all.Served)
	d.note(all.Served > 0, "Requests are served", "%d of %d", all.Served, all.Requests)
}

// judgeRuns checks what the targets recorded.
func (d *Demo) judgeRuns(runs []runrec.Run) {
	seen := 0
	counts := make(map[string]int)
	ran := make(map[string]bool)
	for _, r := range runs {
		if r.SawKey {
			seen++
		}
		ran[r.Marker] = true
		if r.Method == http.MethodPost {
			counts[r.Marker+" "+r.Path]++
		}
	}
	twice := 0
	for _, n := range counts {
		if n > 1 {
			twice++
		}
	}
	d.note(seen == 0, "No target sees a caller's key", "%d of %d runs", seen, len(runs))
	d.note(twice == 0, "A non-idempotent request runs at most once", "%d of %d ran twice", twice, len(counts))
	never, untrue := d.answers.refusedNever(ran)
	d.note(untrue == 0, "A refusal that says a request was not run is true", "%d of %d were false", untrue, never)
}

// refusedNever counts refusals with the run state Never, and those of requests
// that ran all the same.
func (a *answers) refusedNever(ran map[string]bool) (never, untrue int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for marker, got := range a.all {
		if got.Kind != answer.Refused || got.Ran != string(runst.Never) {
			continue
		}
		never++
		if ran[marker] {
			untrue++
		}
	}
	return never, untrue
}

// printRuns prints how often each service's targets ran something.
func (d *Demo) printRuns(runs []runrec.Run) {
	counts := make(map[string]int)
	for _, r := range runs {
		counts[r.Service+"\t"+r.Target]++
	}
	rows := make([]string, 0, len(counts))
	for key := range counts {
		rows = append(rows, key)
	}
	sort.Strings(rows)
	w := tabwriter.NewWriter(d.out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "Service\tTarget\tRuns")
	for _, key := range rows {
		fmt.Fprintf(w, "%s\t%d\n", key, counts[key])
	}
	_ = w.Flush()
}

// printFindings prints each promise, and returns an error if one was broken.
func (d *Demo) printFindings() error {
	broken := 0
	w := tabwriter.NewWriter(d.out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "Promise\tFound\tKept")
	for _, f := range d.findings {
		word := "yes"
		if !f.kept {
			word = "NO"
			broken++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.promise, f.found, word)
	}
	_ = w.Flush()
	if broken > 0 {
		return errors.Errorf("demo: %d promises were broken", broken)
	}
	return nil
}
