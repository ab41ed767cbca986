package verbs

import (
	"encoding/json"
	"io"
	"os"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// runSimulations runs count simulations, several at the same time, and returns
// their outcomes in order. They fail only for unknown names, so that an error is a
// usage error.
func runSimulations[T any](count int, run func(i int) (T, error)) ([]T, error) {
	all := make([]T, count)
	var g errgroup.Group
	g.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i := range all {
		g.Go(func() error {
			o, err := run(i)
			all[i] = o
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, usageError{err}
	}
	return all, nil
}

// orAll returns the chosen names, or all names if none is chosen.
func orAll(chosen, all []string) []string {
	if len(chosen) == 0 {
		return all
	}
	return chosen
}

// printJSON prints a result as indented JSON.
func printJSON(w io.Writer, result any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(result), "printing JSON")
}

// program returns the path of this program, which some commands start as
// processes.
func program() (string, error) {
	path, err := os.Executable()
	return path, errors.Wrap(err, "finding this program")
}
