package verbs

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"bergamotloom.example/platform/soak"
)

type runSoak struct {
	Seeds    []uint64      `arg:"" optional:"" help:"Seeds to run one after another; a random one when none is named."`
	Fresh    int           `help:"Number of additional random seeds to run." env:"LOOM_SOAK_FRESH"`
	Lasts    time.Duration `help:"Time during which faults are injected." default:"20s" env:"LOOM_SOAK_LASTS"`
	Machines int           `help:"Number of nodes." default:"8" env:"LOOM_SOAK_MACHINES"`
	Rate     int           `help:"Requests a second, over all nodes." default:"150" env:"LOOM_SOAK_RATE"`
	Folder   string        `help:"Folder for the logs of each seed; by default a temporary one, which is kept when a promise is broken." type:"path" env:"LOOM_SOAK_FOLDER"`
}

func soakVerb() Verb {
	return Verb{
		Name:    "soak",
		Help:    "Run nodes as processes with stand-ins for the platform, inject faults, and check the promises.",
		Command: &runSoak{},
	}
}

// Run runs the seeds and returns an error if any promise was broken.
func (r *runSoak) Run(s *session) error {
	seeds := r.Seeds
	for range r.Fresh {
		seeds = append(seeds, uint64(rand.Uint32()))
	}
	if len(seeds) == 0 {
		seeds = []uint64{uint64(rand.Uint32())}
	}
	binary, err := program()
	if err != nil {
		return err
	}
	failed := 0
	for _, seed := range seeds {
		if s.context.Err() != nil {
			break
		}
		ok, err := r.runSeed(s, binary, seed)
		if err != nil {
			return err
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", failed, len(seeds))
	}
	return nil
}

// runSeed runs one seed and reports whether all promises were kept.
func (r *runSoak) runSeed(s *session, binary string, seed uint64) (bool, error) {
	folder, err := r.logFolder(seed)
	if err != nil {
		return false, err
	}
	got, err := soak.Soak{Binary: binary, Folder: folder, Seed: seed, Duration: r.Lasts, Machines: r.Machines, Rate: r.Rate}.Run(s.context)
	if err != nil {
		return false, errors.Wrapf(err, "seed %d, logs in %s", seed, folder)
	}
	fmt.Fprintf(s.out, "seed %d: %d of %d requests served, %d faults, %d promises broken\n", seed, got.Served, got.Requests, len(got.Faults), len(got.Broken))
	if len(got.Broken) == 0 {
		if r.Folder == "" {
			return true, errors.Wrap(os.RemoveAll(folder), "removing the logs")
		}
		return true, nil
	}
	fmt.Fprintf(s.out, "logs in %s\n", folder)
	for _, line := range append(got.Faults, got.Broken...) {
		fmt.Fprintln(s.out, line)
	}
	return false, nil
}

// logFolder creates the folder for the logs of a seed.
func (r *runSoak) logFolder(seed uint64) (string, error) {
	if r.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		return folder, errors.Wrap(err, "creating a folder for the logs")
	}
	folder := filepath.Join(r.Folder, fmt.Sprint(seed))
	return folder, errors.Wrap(os.MkdirAll(folder, 0o700), "creating a folder for the logs")
}
