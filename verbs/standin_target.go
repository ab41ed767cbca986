package verbs

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/pkg/errors"

	"bergamotloom.example/clock"
	"bergamotloom.example/runlog"
	"bergamotloom.example/target"
	"bergamotloom.example/traits"
)

type standinTarget struct {
	Listen          string             `default:"127.0.0.1:0" help:"Address to serve on."`
	Node            string             `help:"Address of the node's local port; if empty, the target isn't announced."`
	Announce        string             `help:"Address to announce, if it isn't the address served on."`
	Service         string             `required:"" help:"Service of this instance."`
	Seed            uint64             `default:"1" help:"Seed of all random draws."`
	Record          string             `type:"path" help:"File to which each run is appended as a line of JSON."`
	Slots           int                `default:"20" help:"Number of requests that run at the same time."`
	Backlog         int                `default:"5" help:"Number of requests that may queue for a slot; further ones are shed."`
	WorkMillis      float64            `default:"5" help:"Mean run time, in milliseconds."`
	WorkByPath      map[string]float64 `placeholder:"PATH=MILLIS" help:"Mean run time of a path, in milliseconds."`
	Jitter          float64            `default:"0.2" help:"Fraction of the mean by which a run time may differ, 0 to 1."`
	SlowDown        float64            `help:"Increase of the run time, as a fraction of it, for each queued request per slot."`
	ColdMillis      int64              `help:"Duration of the cold start, in which runs take longer, in milliseconds."`
	ColdFactor      float64            `default:"1" help:"Factor of the run time during the cold start."`
	Report          string             `default:"True" enum:"True,Lagging,Stuck,Lying" help:"Kind of the load report: ${enum}."`
	ReportLagMillis int64              `help:"Age of a lagging load report, in milliseconds."`
	AnswerBytes     int64              `default:"256" help:"Size of a response, in bytes."`
	Call            []string           `sep:"none" placeholder:"PATH=CALL,..." help:"Child calls that a path makes through the node, such as /book=/stock,POST /pay."`
	Parallel        []string           `placeholder:"PATH" help:"Paths whose child calls are made at the same time."`
	CallRetries     int                `help:"Number of retries of a failed child call."`
	CrashMark       string             `help:"Header or query parameter that makes the process exit."`
	KeyMark         string             `help:"Text that every API key contains, to detect leaked keys."`
}

// Run serves until a stop signal, then leaves and drains.
func (t *standinTarget) Run(s *session) error {
	initialTraits, err := t.traits()
	if err != nil {
		return usageError{err}
	}
	file, err := t.openRecord()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	var config net.ListenConfig
	listener, err := config.Listen(s.context, "tcp", t.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	runs := runlog.New(file)
	standin := target.New(t.Service, t.Node, t.Announce, initialTraits, t.Seed, clock.New(), runs, s.log, os.Exit)
	if _, err := fmt.Fprintln(s.out, listener.Addr()); err != nil {
		return errors.Wrap(err, "printing the address")
	}
	return standin.Serve(s.context, listener)
}

// openRecord opens the file for the records of runs, or a writer that discards
// them if none is set.
func (t *standinTarget) openRecord() (io.WriteCloser, error) {
	if t.Record == "" {
		return discardCloser{io.Discard}, nil
	}
	file, err := os.OpenFile(t.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, errors.Wrap(err, "opening the file for the records of runs")
}

// discardCloser is a writer with a Close that does nothing.
type discardCloser struct {
	io.Writer
}

// Close does nothing.
func (discardCloser) Close() error { return nil }

func (t *standinTarget) traits() (traits.Traits, error) {
	calls, err := parseCalls(t.Call)
	if err != nil {
		return traits.Traits{}, err
	}
	parsed := traits.Traits{
		Slots:           t.Slots,
		Backlog:         t.Backlog,
		WorkMillis:      t.WorkMillis,
		WorkByPath:      t.WorkByPath,
		Jitter:          t.Jitter,
		SlowDown:        t.SlowDown,
		ColdMillis:      t.ColdMillis,
		ColdFactor:      t.ColdFactor,
		Report:          t.Report,
		ReportLagMillis: t.ReportLagMillis,
		AnswerBytes:     t.AnswerBytes,
		Calls:           calls,
		Parallel:        t.Parallel,
		CallRetries:     t.CallRetries,
		CrashMark:       t.CrashMark,
		KeyMark:         t.KeyMark,
	}
	return parsed, parsed.Check()
}

// parseCalls parses flags of the form "/book=/stock,POST /pay" into the calls of
// each path.
func parseCalls(flags []string) (map[string][]string, error) {
	calls := make(map[string][]string, len(flags))
	for _, f := range flags {
		path, list, ok := strings.Cut(f, "=")
		if !ok || !strings.HasPrefix(path, "/") || list == "" {
			return nil, errors.Errorf("--call is %q: must have the form /book=/stock,POST /pay", f)
		}
		calls[path] = strings.Split(list, ",")
	}
	return calls, nil
}
