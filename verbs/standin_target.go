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
	Node            string             `help:"Address of the node's local port; none: don't announce."`
	Announce        string             `help:"Address to announce, if it isn't the one that is served on."`
	Service         string             `required:"" help:"Service that this is an instance of."`
	Seed            uint64             `default:"1" help:"Seed of all random draws."`
	Record          string             `type:"path" help:"File that also gets each run as a JSON line."`
	Slots           int                `default:"20" help:"Requests that run at once."`
	Backlog         int                `default:"5" help:"Requests that wait for a slot; more are shed."`
	WorkMillis      float64            `default:"5" help:"Mean time of a run, in milliseconds."`
	WorkByPath      map[string]float64 `placeholder:"PATH=MILLIS" help:"Mean time of a run of single paths."`
	Jitter          float64            `default:"0.2" help:"Part of the mean by which a run may differ, 0 to 1."`
	SlowDown        float64            `help:"Part of the time that each waiting request per slot adds to a run."`
	ColdMillis      int64              `help:"Time after the start in which runs take longer, in milliseconds."`
	ColdFactor      float64            `default:"1" help:"How many times as long runs take while cold."`
	Report          string             `default:"True" enum:"True,Lagging,Stuck,Lying" help:"Kind of the load report: ${enum}."`
	ReportLagMillis int64              `help:"Age of a lagging load report, in milliseconds."`
	AnswerBytes     int64              `default:"256" help:"Size of an answer, in bytes."`
	Call            []string           `sep:"none" placeholder:"PATH=CALL,..." help:"Calls that a path makes through the node, as /book=/stock,POST /pay."`
	Parallel        []string           `placeholder:"PATH" help:"Paths whose calls are made at the same time."`
	CallRetries     int                `help:"How often a failed call is sent again."`
	CrashMark       string             `help:"Header or query parameter that makes the process exit."`
	KeyMark         string             `help:"Text that every key holds, to find leaked ones."`
}

// Run serves until a stop signal, then leaves and ends what it has.
func (t *standinTarget) Run(s *session) error {
	first, err := t.traits()
	if err != nil {
		return usageError{err}
	}
	file, err := t.openRecord()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	var listening net.ListenConfig
	listener, err := listening.Listen(s.context, "tcp", t.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	runs := runlog.New(file)
	served := target.New(t.Service, t.Node, t.Announce, first, t.Seed, clock.New(), runs, s.log, os.Exit)
	if _, err := fmt.Fprintln(s.out, listener.Addr()); err != nil {
		return errors.Wrap(err, "printing the address")
	}
	return served.Serve(s.context, listener)
}

// openRecord opens the file of runs, or one that swallows them.
func (t *standinTarget) openRecord() (io.WriteCloser, error) {
	if t.Record == "" {
		return nowhere{io.Discard}, nil
	}
	file, err := os.OpenFile(t.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, errors.Wrap(err, "opening the record")
}

type nowhere struct {
	io.Writer
}

// Close does nothing.
func (nowhere) Close() error { return nil }

func (t *standinTarget) traits() (traits.Traits, error) {
	calls, err := parseCalls(t.Call)
	if err != nil {
		return traits.Traits{}, err
	}
	first := traits.Traits{
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
	return first, first.Check()
}

// parseCalls reads flags of the form "/book=/stock,POST /pay".
func parseCalls(flags []string) (map[string][]string, error) {
	calls := make(map[string][]string, len(flags))
	for _, f := range flags {
		path, list, ok := strings.Cut(f, "=")
		if !ok || !strings.HasPrefix(path, "/") || list == "" {
			return nil, errors.Errorf("--call is %q: must be as /book=/stock,POST /pay", f)
		}
		calls[path] = strings.Split(list, ",")
	}
	return calls, nil
}
