package proc

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

const mainPackage = "bergamotloom.example/cmd/bergamotloom"

// Build builds the program into the directory and returns the binary's path.
func Build(ctx context.Context, directory string) (string, error) {
	binary := filepath.Join(directory, "bergamotloom")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, mainPackage).CombinedOutput()
	return binary, errors.Wrapf(err, "proc: building: %s", out)
}

// Run runs the binary to its end and returns what it wrote, both outputs
// joined, and its exit code.
func Run(ctx context.Context, binary string, args ...string) (string, int, error) {
	command := exec.CommandContext(ctx, binary, args...)
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}
	return string(out), 0, errors.Wrap(err, "proc: running")
}
