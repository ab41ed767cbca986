// Package traits holds how a stand-in target behaves.
package traits

import (
	"slices"

	"github.com/pkg/errors"
)

// How the load report of a stand-in target relates to its true load.
const (
	ReportTrue    = "True"
	ReportLagging = "Lagging"
	ReportStuck   = "Stuck"
	ReportLying   = "Lying"
)

// Traits is one behaviour of a stand-in target. It's a value, read and
// replaced as a whole while the target runs.
type Traits struct {
	// Slots is how many requests run at once, Backlog how many wait for a
	// slot. Further ones are shed.
	Slots   int
	Backlog int
	// WorkMillis is the mean time of a run in milliseconds, WorkByPath the
	// mean of single paths.
	WorkMillis float64
	WorkByPath map[string]float64
	// Jitter is how far a run may differ from the mean, as a part of it.
	Jitter float64
	// SlowDown is by how much a run takes longer, as a part of its time, for
	// each waiting request per slot.
	SlowDown float64
	// ColdMillis is how long after its start the target is cold; runs then
	// take ColdFactor times as long.
	ColdMillis int64
	ColdFactor float64
	// Report is one of the Report constants; a lagging report is
	// ReportLagMillis old.
	Report          string
	ReportLagMillis int64
	// AnswerBytes is the size of an answer when the request doesn't name one.
	AnswerBytes int64
	// Calls lists for a path the calls made to other services through the
	// node: "/stock", or with a method as in "POST /pay".
	Calls map[string][]string
	// Parallel lists the paths whose calls are made at the same time.
	Parallel []string
	// CallRetries is how often the target sends a failed call again.
	CallRetries int
	// CrashMark names the header or query parameter of a request that ends
	// the process; none if empty.
	CrashMark string
	// KeyMark is a text that every key holds, to find keys that leaked.
	KeyMark string
}

// New returns the traits of a quick and honest target.
func New(slots int) Traits {
	return Traits{
		Slots:       slots,
		Backlog:     max(slots/4, 1),
		ColdFactor:  1,
		Report:      ReportTrue,
		AnswerBytes: 256,
	}
}

// Check says what is wrong with the traits, if anything is.
func (t Traits) Check() error {
	reports := []string{ReportTrue, ReportLagging, ReportStuck, ReportLying}
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
	case !slices.Contains(reports, t.Report):
		return errors.Errorf("Report is %q: must be one of %q", t.Report, reports)
	}
	return nil
}

// MeanWorkMillis returns the mean time of a run of the path, in milliseconds.
func (t Traits) MeanWorkMillis(path string) float64 {
	if millis, ok := t.WorkByPath[path]; ok {
		return millis
	}
	return t.WorkMillis
}

// CallsInParallel tells whether the calls of the path are made at the same time.
func (t Traits) CallsInParallel(path string) bool {
	return slices.Contains(t.Parallel, path)
}
