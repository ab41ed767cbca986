package proc

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

const mainPackage = "bergamotloom.example/cmd/bergamotloom"

// Build builds the program into the directory and returns the path of the
// binary.
func Build(ctx context.Context, directory string) (string, error) {
	binary := filepath.Join(directory, "bergamotloom")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, mainPackage).CombinedOutput()
	return binary, errors.Wrapf(err, "proc: building: %s", out)
}

// Run runs the binary to its end and returns its combined standard output and
// standard error, and its exit code: -1 if a signal ended it, also because ctx
// ended.
func Run(ctx context.Context, binary string, args ...string) (string, int, error) {
	command := exec.CommandContext(ctx, binary, args...)
	out, err := command.CombinedOutput()
	var exitError *exec.ExitError
	if errors.As(err, &exitError) {
		return string(out), exitError.ExitCode(), nil
	}
	return string(out), 0, errors.Wrap(err, "proc: running")
}
