// Package verbs is the command line: a table of commands, one file for each.
//
// Every command's file has one shape: a struct that kong fills from flags and
// environment variables, its help text, and a Run method that does the work.
// Adding a command is adding a file and a row to the table.
package verbs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Verb is one command of the program.
type Verb struct {
	// Name is what is typed, Help what `--help` shows in one line.
	Name string
	Help string
	// Command points to the struct that kong fills; it or its subcommands
	// have a method Run(*session) error.
	Command any
}

// table lists every command in the order that the help shows.
func table() []Verb {
	return []Verb{
		nodeVerb(),
		sidecarVerb(),
		soakVerb(),
		costVerb(),
		checkVerb(),
		applyVerb(),
		fetchVerb(),
		showVerb(),
		auditVerb(),
		keyVerb(),
		demoVerb(),
		benchVerb(),
		chainsVerb(),
		loadVerb(),
		overheadVerb(),
		slopesVerb(),
		standinVerb(),
		compareVerb(),
		versionVerb(),
	}
}

// session is what every command gets beside its flags.
type session struct {
	context context.Context
	out     io.Writer
	log     *slog.Logger
}

// usageError marks an error of the user's settings, which exits with code 2.
type usageError struct {
	cause error
}

func (e usageError) Error() string { return e.cause.Error() }

func (e usageError) Unwrap() error { return e.cause }

// Main runs the command that args name and returns the exit code. Results go
// to out; logs and errors, which begin with the program's name, to logs.
func Main(ctx context.Context, args []string, out, logs io.Writer) int {
	parser, err := newParser(out, logs)
	if err != nil {
		return report(logs, "", err)
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		return report(logs, "", usageError{err})
	}
	s := &session{context: ctx, out: out, log: newLogger(logs)}
	return report(logs, commandName(chosen.Command()), chosen.Run(s))
}

// commandName drops the arguments' places from a command as kong writes it,
// such as "check <dir>".
func commandName(command string) string {
	name, _, _ := strings.Cut(command, " <")
	return name
}

// newLogger writes logs as lines of key=value pairs.
func newLogger(logs io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{ReplaceAttr: shortenError}))
}

// shortenError logs an error's message without the stack that pkg/errors
// keeps, as a log line is a short sentence.
func shortenError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}

func newParser(out, logs io.Writer) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("bergamotloom"),
		kong.Description("An overload control layer for service call graphs."),
		kong.Writers(out, logs),
		kong.UsageOnError(),
	}
	for _, v := range table() {
		options = append(options, kong.DynamicCommand(v.Name, v.Help, "", v.Command))
	}
	return kong.New(&struct{}{}, options...)
}

// report prints an error as "bergamotloom check: what was wrong" and returns
// the exit code that goes with it.
func report(logs io.Writer, command string, err error) int {
	if err == nil {
		return exitDone
	}
	prefix := "bergamotloom"
	if command != "" {
		prefix += " " + command
	}
	fmt.Fprintf(logs, "%s: %v\n", prefix, err)
	if errors.As(err, &usageError{}) {
		return exitUsage
	}
	return exitFailed
}
