// Package traits holds the configurable behaviour of a stand-in target.
package traits

import (
	"slices"

	"github.com/pkg/errors"
)

// How a stand-in target reports its load, which counts the running and the
// waiting requests.
const (
	// ReportTrue reports the current load.
	ReportTrue = "True"
	// ReportLagging reports the load of ReportLagMillis ago.
	ReportLagging = "Lagging"
	// ReportStuck keeps reporting the load of the first stuck report.
	ReportStuck = "Stuck"
	// ReportLying reports that nothing runs.
	ReportLying = "Lying"
)

// Traits is the behaviour of a stand-in target. It's a value that is replaced
// as a whole while the target runs.
type Traits struct {
	// Slots is how many requests run at once, Backlog how many can wait for a
	// slot. Further ones are shed.
	Slots   int
	Backlog int
	// WorkMillis is the mean run time in milliseconds. WorkByPath overrides it
	// for single paths.
	WorkMillis float64
	WorkByPath map[string]float64
	// Jitter is the largest deviation of a run time from the mean, as a
	// fraction of the mean. The deviations are uniformly distributed.
	Jitter float64
	// SlowDown makes runs slower under load: a run takes
	// 1 + SlowDown*waiting/Slots times as long.
	SlowDown float64
	// ColdMillis is how long the cold start lasts, in milliseconds. Runs then
	// take ColdFactor times as long.
	ColdMillis int64
	ColdFactor float64
	// Report is one of the Report constants. A lagging report is
	// ReportLagMillis old.
	Report          string
	ReportLagMillis int64
	// AnswerBytes is the size of a response body if the request doesn't name
	// one.
	AnswerBytes int64
	// Calls lists for a path the child calls made to other services through
	// the node: "/stock", or with a method as in "POST /pay".
	Calls map[string][]string
	// Parallel lists the paths whose child calls are made in parallel.
	Parallel []string
	// CallRetries is how often the target retries a failed child call.
	CallRetries int
	// CrashMark is a name: a request with a header or query parameter of this
	// name makes the process exit. If empty, no request does.
	CrashMark string
	// KeyMark is a text that every API key contains, to detect leaked keys.
	KeyMark string
}

// New returns the traits of a target with no run time and true load reports.
func New(slots int) Traits {
	return Traits{
		Slots:       slots,
		Backlog:     max(slots/4, 1),
		ColdFactor:  1,
		Report:      ReportTrue,
		AnswerBytes: 256,
	}
}

// Check returns an error that names the first trait that is out of range.
func (t Traits) Check() error {
	reportKinds := []string{ReportTrue, ReportLagging, ReportStuck, ReportLying}
	switch {
	case t.Slots < 1:
		return errors.Errorf("Slots is %d: must be 1 or more", t.Slots)
	case t.Backlog < 0:
		return errors.Errorf("Backlog is %d: must be 0 or more", t.Backlog)
	case t.WorkMillis < 0:
		return errors.Errorf("WorkMillis is %v: must be 0 or more", t.WorkMillis)
	case t.Jitter < 0 || t.Jitter > 1:
		return errors.Errorf("Jitter is %v: must be from 0 to 1", t.Jitter)
	case t.ColdFactor < 1:
		return errors.Errorf("ColdFactor is %v: must be 1 or more", t.ColdFactor)
	case !slices.Contains(reportKinds, t.Report):
		return errors.Errorf("Report is %q: must be one of %q", t.Report, reportKinds)
	}
	return nil
}

// MeanWorkMillis returns the mean run time of the path, in milliseconds.
func (t Traits) MeanWorkMillis(path string) float64 {
	if millis, ok := t.WorkByPath[path]; ok {
		return millis
	}
	return t.WorkMillis
}

// CallsInParallel reports whether the child calls of the path are made in
// parallel.
func (t Traits) CallsInParallel(path string) bool {
	return slices.Contains(t.Parallel, path)
}
