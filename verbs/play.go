package verbs

import (
	"encoding/json"
	"io"
	"os"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// playAll makes so many outcomes, some at a time, and returns them in order.
// Plays on a virtual clock fail only if they're asked for what isn't known.
func playAll[T any](many int, play func(i int) (T, error)) ([]T, error) {
	all := make([]T, many)
	var g errgroup.Group
	g.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i := range all {
		g.Go(func() error {
			o, err := play(i)
			all[i] = o
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, usageError{err}
	}
	return all, nil
}

// orAll returns what was chosen, or all if nothing was.
func orAll(chosen, all []string) []string {
	if len(chosen) == 0 {
		return all
	}
	return chosen
}

// printJSON prints a result for other programs to read.
func printJSON(w io.Writer, result any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(result), "printing JSON")
}

// program returns the path of this program, which verbs start as processes.
func program() (string, error) {
	path, err := os.Executable()
	return path, errors.Wrap(err, "finding this program")
}
