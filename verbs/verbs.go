// Package verbs implements the command line: a table of commands, with one file
// for each.
//
// The file of a command has a struct that kong fills from flags and environment
// variables, the help text, and a Run method that does the work. To add a command,
// add a file and a row in the table.
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
	exitSuccess = 0
	exitFailed  = 1
	exitUsage   = 2
)

// Verb is one command of the program.
type Verb struct {
	// Name is the name of the command, and Help its line in the output of
	// `--help`.
	Name string
	Help string
	// Command points to the struct that kong fills. The struct or its
	// subcommands have a method Run(*session) error.
	Command any
}

// table lists the commands in the order of the help.
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

// session holds what every command gets besides its flags.
type session struct {
	context context.Context
	out     io.Writer
	log     *slog.Logger
}

// usageError marks an error in the user's input, for exit code 2.
type usageError struct {
	cause error
}

func (e usageError) Error() string { return e.cause.Error() }

func (e usageError) Unwrap() error { return e.cause }

// Main runs the command in args and returns the exit code: 0 for success, 1 for a
// failure and 2 for a usage error. Results go to out. Logs and errors, which begin
// with the program's name, go to logs.
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

// commandName drops the argument placeholders from a command in kong's notation,
// such as "check <dir>".
func commandName(command string) string {
	name, _, _ := strings.Cut(command, " <")
	return name
}

// newLogger returns a logger that writes lines of key=value pairs.
func newLogger(logs io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{ReplaceAttr: shortenError}))
}

// shortenError replaces an error by its message, without the stack trace that
// pkg/errors keeps, so that log lines stay short.
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

// report prints an error in the form "bergamotloom check: message" and returns the
// exit code.
func report(logs io.Writer, command string, err error) int {
	if err == nil {
		return exitSuccess
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
