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

const columnGapSpaces = 2

// check checks the guarantees, prints the results, and returns an error if a
// guarantee wasn't kept.
func (d *Demo) check(totals *tally.Tally) error {
	runs, err := d.fleet.Runs()
	if err != nil {
		return err
	}
	d.checkResponses(totals)
	d.checkRuns(runs)
	d.printf("")
	if err := totals.WriteTable(d.out); err != nil {
		return err
	}
	d.printf("")
	d.printRuns(runs)
	d.printf("")
	return d.printFindings()
}

// checkResponses checks the responses that callers got.
func (d *Demo) checkResponses(totals *tally.Tally) {
	all := totals.All()
	d.addFinding(all.Broken == 0, "No request in flight is cut off", "%d answers broken", all.Broken)
	d.addFinding(all.Wrong == 0, "Every caller gets the whole answer to its own request", "%d wrong of %d", all.Wrong, all.Served)
	d.addFinding(all.Served > 0, "Requests are served", "%d of %d", all.Served, all.Requests)
}

// checkRuns checks the runs that the targets recorded.
func (d *Demo) checkRuns(runs []runrec.Run) {
	leakedKeys := 0
	postRuns := make(map[string]int)
	ran := make(map[string]bool)
	for _, r := range runs {
		if r.SawKey {
			leakedKeys++
		}
		ran[r.Marker] = true
		// In the example, the POST routes are the non-idempotent ones. Marker
		// and path identify a request.
		if r.Method == http.MethodPost {
			postRuns[r.Marker+" "+r.Path]++
		}
	}
	twice := 0
	for _, n := range postRuns {
		if n > 1 {
			twice++
		}
	}
	d.addFinding(leakedKeys == 0, "No target sees a caller's key", "%d of %d runs", leakedKeys, len(runs))
	d.addFinding(twice == 0, "A non-idempotent request runs at most once", "%d of %d ran twice", twice, len(postRuns))
	refusals, falseRefusals := d.responses.countNeverRefusals(ran)
	d.addFinding(falseRefusals == 0, "A refusal that says a request was not run is true", "%d of %d were false", falseRefusals, refusals)
}

// countNeverRefusals counts the refusals with the run state Never, and those
// among them whose request ran.
func (r *responses) countNeverRefusals(ran map[string]bool) (refusals, falseRefusals int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for marker, got := range r.all {
		if got.Kind != answer.Refused || got.Ran != string(runst.Never) {
			continue
		}
		refusals++
		if ran[marker] {
			falseRefusals++
		}
	}
	return refusals, falseRefusals
}

// printRuns prints the number of runs at each target.
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
	w := tabwriter.NewWriter(d.out, 0, 0, columnGapSpaces, ' ', 0)
	fmt.Fprintln(w, "Service\tTarget\tRuns")
	for _, key := range rows {
		fmt.Fprintf(w, "%s\t%d\n", key, counts[key])
	}
	_ = w.Flush()
}

// printFindings prints each guarantee with its result, and returns an error if
// one wasn't kept.
func (d *Demo) printFindings() error {
	brokenGuarantees := 0
	w := tabwriter.NewWriter(d.out, 0, 0, columnGapSpaces, ' ', 0)
	fmt.Fprintln(w, "Promise\tFound\tKept")
	for _, f := range d.findings {
		kept := "yes"
		if !f.kept {
			kept = "NO"
			brokenGuarantees++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.guarantee, f.result, kept)
	}
	_ = w.Flush()
	if brokenGuarantees > 0 {
		return errors.Errorf("demo: %d promises were broken", brokenGuarantees)
	}
	return nil
}
